import type { Clock } from "../../types/index.js";
import { type Counter, createMetrics, type Histogram, type Metrics } from "../metrics/index.js";

/** Metrics of an entry instance. */
export interface EntryMetrics {
    readonly registry: Metrics;
    readonly requests: Counter;
    readonly retries: Counter;
    /** Requests that were refused before they were handed over, and those whose handler threw. */
    readonly rejected: Counter;
    readonly callerAnswers: Counter;
    readonly firstByteMilliseconds: Histogram;
    readonly routingMicroseconds: Histogram;
    readonly appends: Counter;
}

/**
 * Creates the metrics of an entry instance.
 *
 * @param clock - source of the time
 * @returns the metrics
 */
export function createEntryMetrics(clock: Clock): EntryMetrics {
    const registry = createMetrics({ clock });
    return {
        registry,
        requests: registry.createCounter({
            name: "goldcrestpoint_requests_total",
            documentation: "Requests of callers, by deployment and result.",
        }),
        retries: registry.createCounter({
            name: "goldcrestpoint_retries_total",
            documentation: "Attempts after the first one.",
        }),
        rejected: registry.createCounter({
            name: "goldcrestpoint_rejected_total",
            documentation: "Requests that were refused before admission or whose handler threw, by reason.",
        }),
        callerAnswers: registry.createCounter({
            name: "goldcrestpoint_caller_answers_total",
            documentation: "Answers to callers by how they ended: sent, or the reason of `answer cut off`.",
        }),
        firstByteMilliseconds: registry.createHistogram({
            name: "goldcrestpoint_first_byte_milliseconds",
            documentation: "Time from the arrival of a request to the first byte of its answer.",
        }),
        routingMicroseconds: registry.createHistogram({
            name: "goldcrestpoint_routing_decision_microseconds",
            documentation: "Processor time of a routing decision.",
        }),
        appends: registry.createCounter({
            name: "goldcrestpoint_log_appends_total",
            documentation: "Records appended to the log, by kind and result.",
        }),
    };
}
