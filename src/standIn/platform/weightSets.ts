import { createCipheriv, createHash } from "node:crypto";
import { computeManifestDigest } from "../../runtime/distribution/manifest.js";
import type { Manifest, ManifestDigest } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Declaration of a generated weight set. */
export interface WeightSetDeclaration {
    readonly model: string;
    /** Empty for none. */
    readonly adapter: string;
    readonly version: string;
    readonly totalBytes: number;
    readonly chunkBytes: number;
    /** Changes the content of the set. Default: 1. */
    readonly seed?: number | undefined;
}

/** Generated weight set. */
export interface GeneratedWeightSet {
    readonly digest: ManifestDigest;
    readonly manifest: Manifest;
    /**
     * Generates the content of a chunk.
     *
     * @param index - position of the chunk
     * @returns content of the chunk; undefined if there is no such chunk
     */
    readChunk(index: number): Uint8Array | undefined;
}

/**
 * Generates a weight set. Its content depends only on the declaration and is not kept in memory.
 *
 * @param declaration - name, sizes and seed
 * @returns the set
 */
export function generateWeightSet(declaration: WeightSetDeclaration): GeneratedWeightSet {
    const { model, adapter, version, totalBytes, chunkBytes, seed = 1 } = declaration;
    const identity = JSON.stringify([model, adapter, version, seed]);
    const count = Math.ceil(totalBytes / chunkBytes);
    const computeChunkSize = (index: number): number => Math.min(chunkBytes, totalBytes - index * chunkBytes);
    const chunks = [...Array(count).keys()].map(index => {
        const bytes = computeChunkSize(index);
        return { bytes, digest: computeDigest(generateContent(identity, index, bytes)) };
    });
    const manifest = { model, adapter, version, totalBytes, chunks };
    return {
        digest: computeManifestDigest(manifest),
        manifest,
        readChunk: index =>
            Number.isInteger(index) && index >= 0 && index < count ?
                generateContent(identity, index, computeChunkSize(index)) :
                undefined,
    };
}

/** Uses the key stream of a cipher, the fastest reproducible source of bytes that do not compress. */
function generateContent(identity: string, index: number, bytes: number): Uint8Array {
    const key = createHash("sha256").update(identity).update(`/${index}`).digest();
    const cipher = createCipheriv("aes-128-ctr", key.subarray(0, 16), key.subarray(16, 32));
    return cipher.update(Buffer.alloc(bytes));
}
