import type { Milliseconds } from "../../types/index.js";
import type { RunnerRow } from "../routing/index.js";

/** Options of the share of the free places that a gateway takes. */
export interface CapacityOptions {
    /**
     * Requests beyond its slots that a backend server is given, so that a slot that becomes free is taken at once and
     * does not wait for the next report.
     */
    readonly queuedPerServer: number;
    /** Time in which the weight of a load report halves; a server without answers must not look full for good. */
    readonly loadHalfLife: Milliseconds;
}

/** Input of {@link computeCapacity}. */
export interface CapacityInput {
    /** Backend servers that may take requests. */
    readonly runners: readonly RunnerRow[];
    /** Gateways that share the free places, this one included. */
    readonly gateways: number;
    readonly now: Milliseconds;
    readonly options: CapacityOptions;
}

/**
 * Computes how many requests a gateway may have in progress at a service: those that it has, and its share of the places
 * that no gateway has taken. The share is rounded up, since the places are free now and the others may not need theirs.
 *
 * @param input - backend servers and number of gateways
 * @returns requests in progress; at least 0
 */
export function computeCapacity({ gateways, now, options, runners }: CapacityInput): number {
    let own = 0;
    let free = 0;
    for (const { capacity, outstanding, reportedAt, reportedLoad } of runners) {
        const weight = 2 ** (-Math.max(0, now - reportedAt) / options.loadHalfLife);
        own += outstanding;
        free += Math.max(0, capacity + options.queuedPerServer - outstanding - reportedLoad * weight);
    }
    return own + Math.ceil(free / Math.max(1, gateways));
}
