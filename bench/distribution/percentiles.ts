import type { EventCounts, FromChild } from "./messages.js";

/**
 * Computes a percentile.
 *
 * @param values - values in any order
 * @param share - percentile as a share, for example 0.95
 * @returns the value, or NaN if there are none
 */
export function computePercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}

/**
 * Summarizes the waits of live requests during the transfer, the event loop delays and the processor time.
 *
 * @param answers - totals of each agent process
 * @returns waits and delays in milliseconds, and the processor time of all agent processes in seconds
 */
export function summarizeWaits(answers: readonly Extract<FromChild, { kind: "agent-totals"; }>[]): EventCounts {
    const round = (value: number) => Math.round(value * 10) / 10;
    const readWait = (part: "incoming" | "outgoing" | "serverTime") =>
        round(computePercentile(answers.flatMap(({ liveWaits }) => liveWaits[part]), 0.95));
    return {
        liveIncomingWaitP95: readWait("incoming"),
        liveOutgoingWaitP95: readWait("outgoing"),
        liveServerTimeP95: readWait("serverTime"),
        eventLoopDelayP95Median: round(computePercentile(answers.map(({ eventLoopDelay }) => eventLoopDelay), 0.5)),
        eventLoopDelayP95Maximum: round(Math.max(...answers.map(({ eventLoopDelay }) => eventLoopDelay))),
        processorSeconds: round(answers.reduce((sum, { processorSeconds }) => sum + processorSeconds, 0)),
    };
}
