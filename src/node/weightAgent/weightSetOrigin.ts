import { err, type Result } from "true-myth/result";
import { parseWeightName } from "../../runtime/gateway/index.js";
import {
    createError,
    type GoldcrestpointError,
    isConnectionRefused,
    type Manifest,
    type OriginPort,
    type VersionOriginPort,
} from "../../types/index.js";

/** Reads of a manifest until two agree. One read in a few dozen is corrupt, so more reads are rarely needed. */
const maximumManifestReads = 4;

function sameChunks(left: Manifest, right: Manifest): boolean {
    return left.chunks.length === right.chunks.length &&
        left.chunks.every(({ bytes, digest }, index) =>
            bytes === right.chunks[index]!.bytes && digest === right.chunks[index]!.digest
        );
}

/**
 * Reads a manifest until two reads agree, since nothing else confirms it: with a corrupt digest, the chunk would be
 * rejected from every source, and the set would never be complete.
 */
async function readConfirmedManifest(
    origin: VersionOriginPort,
    model: string,
    version: number,
    signal: AbortSignal | undefined,
): Promise<Result<Manifest, GoldcrestpointError>> {
    const earlier: Manifest[] = [];
    let failure = createError("MANIFEST_INVALID", "confirm manifest", "origin", "no two reads agree");
    for (let attempt = 0; attempt < maximumManifestReads && signal?.aborted !== true; attempt++) {
        const manifest = await origin.readManifest(model, version, signal);
        if (manifest.isErr) {
            failure = manifest.error;
            // Nothing listens at the origin; the caller waits before it tries again.
            if (isConnectionRefused(failure)) {
                break;
            }
        }
        else if (earlier.some(other => sameChunks(other, manifest.value))) {
            return manifest;
        }
        else {
            earlier.push(manifest.value);
        }
    }
    return err(failure);
}

/**
 * Adapts an origin that identifies weight sets by version to the transfer service, which identifies them by digest.
 *
 * @param origin - origin that identifies sets by model and version
 * @param keepManifest - called with each confirmed manifest
 * @returns the origin port for the transfer service
 */
export function createWeightSetOrigin(
    origin: VersionOriginPort,
    keepManifest: (set: string, manifest: Manifest) => void,
): OriginPort {
    const step = "resolve manifest";
    return {
        resolveManifest: () =>
            Promise.resolve(err(createError("MANIFEST_INVALID", step, "origin", "sets are identified by version"))),
        readManifest: async (set, signal) => {
            const { model, version } = parseWeightName(set);
            const manifest = await readConfirmedManifest(origin, model, version, signal);
            if (manifest.isOk) {
                keepManifest(set, manifest.value);
            }
            return manifest;
        },
        readChunk: (set, index, signal) => {
            const { model, version } = parseWeightName(set);
            return origin.readChunk(model, version, index, signal);
        },
    };
}
