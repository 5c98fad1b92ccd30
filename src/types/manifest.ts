/** One chunk of a weight set, which its digest verifies. */
export interface ManifestChunk {
    readonly bytes: number;
    /** Lower-case hexadecimal SHA-256 digest of the content. */
    readonly digest: string;
}

/** List of the chunks of one weight set. */
export interface Manifest {
    readonly model: string;
    readonly adapter: string;
    readonly version: string;
    readonly totalBytes: number;
    readonly chunks: readonly ManifestChunk[];
}
