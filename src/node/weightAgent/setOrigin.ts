import { err, type Result } from "true-myth/result";
import { splitWeights } from "../../runtime/gateway/index.js";
import {
    createError,
    type GoldcrestpointError,
    type Manifest,
    type OriginPort,
    type VersionOriginPort,
} from "../../types/index.js";

/** Reads of a manifest of which two have to agree. One in some dozens is spoilt, so more are hardly ever needed. */
const maximumManifestReads = 4;

function sameChunks(left: Manifest, right: Manifest): boolean {
    return left.chunks.length === right.chunks.length &&
        left.chunks.every(({ bytes, digest }, index) =>
            bytes === right.chunks[index]!.bytes && digest === right.chunks[index]!.digest
        );
}

/**
 * Reads a manifest until two reads agree. Nothing else proves it: with a spoilt digest, the chunk would be refused from
 * every source, and the set would never be complete.
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
 * Lets the transfer service, which names sets by digest, read from an origin that names them by version.
 *
 * @param origin - the origin
 * @param keepManifest - called with each manifest that was confirmed
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
        readManifest: async (set, signal) => {
            const { model, version } = splitWeights(set);
            const manifest = await readConfirmedManifest(origin, model, version, signal);
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
