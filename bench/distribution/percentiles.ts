import type { EventCounts, FromChild } from "./messages.js";

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
 * Summarizes what live requests waited for during the transfer, and what the processes used.
 *
 * @param answers - totals of each process
 * @returns milliseconds, and seconds of processor time of all agents
 */
export function summarizeWaits(answers: readonly Extract<FromChild, { kind: "agent-totals"; }>[]): EventCounts {
    const round = (value: number) => Math.round(value * 10) / 10;
    const readWait = (part: "incoming" | "outgoing" | "serverTime") =>
        round(readPercentile(answers.flatMap(({ liveWaits }) => liveWaits[part]), 0.95));
    return {
        liveIncomingWaitP95: readWait("incoming"),
        liveOutgoingWaitP95: readWait("outgoing"),
        liveServerTimeP95: readWait("serverTime"),
        eventLoopDelayP95Median: round(readPercentile(answers.map(({ eventLoopDelay }) => eventLoopDelay), 0.5)),
        eventLoopDelayP95Maximum: round(Math.max(...answers.map(({ eventLoopDelay }) => eventLoopDelay))),
        processorSeconds: round(answers.reduce((sum, { processorSeconds }) => sum + processorSeconds, 0)),
    };
}
