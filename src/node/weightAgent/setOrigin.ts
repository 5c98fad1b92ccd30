import { err } from "true-myth/result";
import { splitWeights } from "../../runtime/gateway/index.js";
import { createError, type Manifest, type OriginPort, type VersionOriginPort } from "../../types/index.js";

/**
 * Lets the transfer service, which names sets by digest, read from an origin that names them by version.
 *
 * @param origin - the origin
 * @param keepManifest - called with each manifest that was read
 * @returns the port of the transfer service
 */
export function createSetOrigin(
    origin: VersionOriginPort,
    keepManifest: (set: string, manifest: Manifest) => void,
): OriginPort {
    const step = "resolve manifest";
    return {
        resolveManifest: () =>
            Promise.resolve(err(createError("MANIFEST_INVALID", step, "origin", "sets are named by version here"))),
        readManifest: async set => {
            const { model, version } = splitWeights(set);
            const manifest = await origin.readManifest(model, version);
            if (manifest.isOk) {
                keepManifest(set, manifest.value);
            }
            return manifest;
        },
        readChunk: (set, index, signal) => {
            const { model, version } = splitWeights(set);
            return origin.readChunk(model, version, index, signal);
        },
    };
}
