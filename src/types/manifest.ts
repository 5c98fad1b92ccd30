/** One verifiable piece of a weight set. */
export interface ManifestChunk {
    readonly bytes: number;
    /** Lower-case hexadecimal SHA-256 digest of the content. */
    readonly digest: string;
}

/** Content of one weight set: model, adapter and version together. */
export interface Manifest {
    readonly model: string;
    readonly adapter: string;
    readonly version: string;
    readonly totalBytes: number;
    readonly chunks: readonly ManifestChunk[];
}
