import type { EventCounts } from "./messages.js";

/**
 * Reads a percentile.
 *
 * @param values - in any order
 * @param share - percentile as a share, for example 0.95
 * @returns the value, or NaN if there are none
 */
export function readPercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}

/**
 * Summarizes what live requests waited for during the transfer.
 *
 * @param incoming - waits for the incoming half of the link, in milliseconds
 * @param outgoing - waits for the outgoing half
 * @param eventLoopDelays - 95th percentile of each process, in milliseconds
 * @returns figures in milliseconds
 */
export function summarizeWaits(
    incoming: readonly number[],
    outgoing: readonly number[],
    eventLoopDelays: readonly number[],
): EventCounts {
    const round = (milliseconds: number) => Math.round(milliseconds * 10) / 10;
    return {
        liveIncomingWaitP95: round(readPercentile(incoming, 0.95)),
        liveOutgoingWaitP95: round(readPercentile(outgoing, 0.95)),
        eventLoopDelayP95Median: round(readPercentile(eventLoopDelays, 0.5)),
    };
}
