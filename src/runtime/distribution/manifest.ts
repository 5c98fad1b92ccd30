import { err, ok, type Result } from "true-myth/result";
import { createError, type GoldcrestpointError, type Manifest, type ManifestDigest } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Chunk size that `createManifest` uses by default, in bytes. */
export const defaultChunkBytes = 2 * 1024 * 1024;

/** Names of the weights that a manifest describes. */
export interface WeightNames {
    readonly model: string;
    /** Empty if there is none. */
    readonly adapter: string;
    readonly version: string;
}

/**
 * Creates the manifest of a weight set.
 *
 * @param names - model, adapter and version
 * @param content - the whole set, or its chunks in order
 * @param chunkBytes - size of every chunk but the last when `content` is the whole set; default: 2 MiB
 * @returns the manifest
 */
export function createManifest(
    names: WeightNames,
    content: Uint8Array | Iterable<Uint8Array>,
    chunkBytes: number = defaultChunkBytes,
): Manifest {
    const parts = content instanceof Uint8Array ? splitContent(content, chunkBytes) : content;
    const chunks = Array.from(parts, part => ({ bytes: part.length, digest: computeDigest(part) }));
    const totalBytes = chunks.reduce((sum, { bytes }) => sum + bytes, 0);
    return { model: names.model, adapter: names.adapter, version: names.version, totalBytes, chunks };
}

function* splitContent(content: Uint8Array, chunkBytes: number): Iterable<Uint8Array> {
    for (let offset = 0; offset < content.length; offset += chunkBytes) {
        yield content.subarray(offset, offset + chunkBytes);
    }
}

/**
 * Writes a manifest in its canonical form: JSON arrays in a fixed order without white space.
 *
 * @param manifest - the manifest
 * @returns text that is the same for equal manifests, whatever the order of their properties
 */
export function formatCanonicalManifest(manifest: Manifest): string {
    const { adapter, chunks, model, totalBytes, version } = manifest;
    return JSON.stringify([model, adapter, version, totalBytes, chunks.map(({ bytes, digest }) => [bytes, digest])]);
}

/**
 * Computes the digest that identifies a weight set.
 *
 * @param manifest - the manifest
 * @returns lower-case hexadecimal SHA-256 digest of the canonical form
 */
export function computeManifestDigest(manifest: Manifest): ManifestDigest {
    return computeDigest(formatCanonicalManifest(manifest));
}

/**
 * Checks a manifest that was received.
 *
 * @param manifest - the manifest
 * @param digest - digest that the configuration pins
 * @param peer - where the manifest came from
 * @returns the manifest; `MANIFEST_INVALID` if its digest or its sizes are wrong
 */
export function verifyManifest(
    manifest: Manifest,
    digest: ManifestDigest,
    peer: string,
): Result<Manifest, GoldcrestpointError> {
    const step = "verify manifest";
    if (computeManifestDigest(manifest) !== digest) {
        return err(createError("MANIFEST_INVALID", step, peer, `the manifest's digest is not ${digest}`));
    }
    const sum = manifest.chunks.reduce((total, { bytes }) => total + bytes, 0);
    if (manifest.chunks.length === 0 || sum !== manifest.totalBytes) {
        return err(createError("MANIFEST_INVALID", step, peer, "the chunk sizes do not add up to the total size"));
    }
    return ok(manifest);
}

/**
 * Checks the content of a chunk.
 *
 * @param manifest - the set's manifest
 * @param index - position of the chunk
 * @param content - bytes that were received
 * @returns true if size and digest are those of the manifest
 */
export function verifyChunk(manifest: Manifest, index: number, content: Uint8Array): boolean {
    const chunk = manifest.chunks[index];
    return chunk !== undefined && content.length === chunk.bytes && computeDigest(content) === chunk.digest;
}
