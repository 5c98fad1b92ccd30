import type { Manifest, ManifestChunk, WeightSet } from "../../types/index.js";

const digestBytes = 32;

/** Largest number of chunks that is accepted from another agent. */
const maximumChunks = 65_536;

/** Chunks of a manifest as agents send them to each other. */
export interface ManifestChunks {
    readonly chunkBytes: readonly number[];
    /** SHA-256 digests, 32 bytes each. */
    readonly digests: Uint8Array;
}

/**
 * Encodes the chunks of a manifest for other agents.
 *
 * @param manifest - the manifest
 * @returns sizes and digests; undefined if a digest is not a SHA-256 digest in hexadecimal form
 */
export function encodeManifestChunks(manifest: Manifest): { chunkBytes: number[]; digests: Uint8Array; } | undefined {
    const digests = Buffer.concat(manifest.chunks.map(({ digest }) => Buffer.from(digest, "hex")));
    return digests.length === manifest.chunks.length * digestBytes ?
        { chunkBytes: manifest.chunks.map(({ bytes }) => bytes), digests } :
        undefined;
}

/**
 * Decodes a manifest that another agent sent.
 *
 * @param weights - set that was asked for
 * @param content - sizes and digests of the chunks
 * @returns the manifest; undefined if there are no chunks, too many, an empty one, or not one digest for each
 */
export function decodeManifestChunks(weights: WeightSet, content: ManifestChunks): Manifest | undefined {
    const { chunkBytes } = content;
    const digests = Buffer.from(content.digests);
    if (chunkBytes.length === 0 || chunkBytes.length > maximumChunks || chunkBytes.includes(0)) {
        return undefined;
    }
    if (digests.length !== chunkBytes.length * digestBytes) {
        return undefined;
    }
    const chunks = chunkBytes.map((bytes, index): ManifestChunk => ({
        bytes,
        digest: digests.toString("hex", index * digestBytes, (index + 1) * digestBytes),
    }));
    const { adapter, model, version } = weights;
    return { model, adapter, version, totalBytes: chunkBytes.reduce((sum, bytes) => sum + bytes, 0), chunks };
}
