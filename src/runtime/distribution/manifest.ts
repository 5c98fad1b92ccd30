import type { Manifest, ManifestDigest } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/**
 * Computes the digest of a manifest's canonical form: the JSON text of model, adapter, version, totalBytes and chunks
 * (bytes, digest), with the keys in this order.
 *
 * @param manifest - the manifest
 * @returns lower-case hexadecimal SHA-256 digest
 */
export function computeManifestDigest(manifest: Manifest): ManifestDigest {
    const { model, adapter, version, totalBytes } = manifest;
    const chunks = manifest.chunks.map(({ bytes, digest }) => ({ bytes, digest }));
    return computeDigest(JSON.stringify({ model, adapter, version, totalBytes, chunks }));
}
