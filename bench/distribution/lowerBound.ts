import type { RunScale } from "./messages.js";

/**
 * Computes the shortest possible time until all agents have a copy, given the speeds of the links and of the origin.
 *
 * @param scale - sizes and speeds
 * @param agents - number of copies
 * @returns seconds
 */
export function computeLowerBound(scale: RunScale, agents: number): number {
    const { linkBytesPerSecond, originBytesPerSecond, totalBytes } = scale;
    return Math.max(
        totalBytes / originBytesPerSecond,
        totalBytes / linkBytesPerSecond,
        agents * totalBytes / (originBytesPerSecond + agents * linkBytesPerSecond),
    );
}
