import type { Milliseconds } from "../../types/index.js";

/** Time in which the weight of an arrival in the count halves. */
const arrivalHalfLife: Milliseconds = 1_000;

/** Exponentially decaying count of the requests for a service; created by {@link createArrivalCount}. */
export interface ArrivalCount {
    /** Sum of the weights of all arrivals; the weight of each begins at 1 and decays. */
    weighted: number;
    /** Time in which the weight of an arrival halves. */
    readonly halfLife: Milliseconds;
    /** Monotonic time at which the sum was computed. */
    updatedAt: Milliseconds;
}

/** Demand for a service at a gateway. */
export interface ServiceDemand {
    /** Recent arrival rate in requests per millisecond. */
    readonly arrivalRate: number;
    /** Mean time for which a request is in progress. */
    readonly serviceTime: Milliseconds;
}

/**
 * Creates the count for a service that has had no requests yet.
 *
 * @param now - monotonic time
 * @param halfLife - time in which the weight of an arrival halves. Default: 1 s.
 * @returns the count, 0
 */
export function createArrivalCount(now: Milliseconds, halfLife: Milliseconds = arrivalHalfLife): ArrivalCount {
    return { weighted: 0, halfLife, updatedAt: now };
}

function decayCount(count: ArrivalCount, now: Milliseconds): number {
    return count.weighted * 2 ** (-Math.max(0, now - count.updatedAt) / count.halfLife);
}

/**
 * Counts the arrival of a request.
 *
 * @param count - count to change
 * @param now - monotonic time
 */
export function recordArrival(count: ArrivalCount, now: Milliseconds): void {
    count.weighted = decayCount(count, now) + 1;
    count.updatedAt = now;
}

/**
 * Computes the recent arrival rate of requests.
 *
 * @param count - the count
 * @param now - monotonic time
 * @returns exponentially weighted rate in requests per millisecond
 */
export function computeArrivalRate(count: ArrivalCount, now: Milliseconds): number {
    return decayCount(count, now) * Math.LN2 / count.halfLife;
}
