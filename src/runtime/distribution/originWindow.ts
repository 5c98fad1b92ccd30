import type { Manifest } from "../../types/index.js";
import type { DistributionOptions } from "./types.js";

/**
 * Computes how many chunks are read from the origin beyond those that are known to be held. News of a chunk take about an
 * interval of the exchanges; the window covers what the origin sends meanwhile, which is about what a link receives. With
 * fewer chunks the origin idles, with more its readers share its link, and no chunk can be forwarded for longer.
 *
 * @param manifest - sizes of the chunks
 * @param options - window, or the time from which it is derived
 * @returns number of chunks; 0 if all chunks are read at once
 */
export function computeOriginWindow(manifest: Manifest, options: DistributionOptions): number {
    const { linkBytesPerSecond, originWindow, originWindowTime } = options;
    const chunkBytes = manifest.totalBytes / Math.max(1, manifest.chunks.length);
    return originWindowTime === 0 || chunkBytes === 0 ?
        originWindow :
        Math.ceil(linkBytesPerSecond * originWindowTime / 1_000 / chunkBytes);
}
