import type { Milliseconds } from "../../types/index.js";

/** Half-life of the weight of an arrival. */
const halfLife: Milliseconds = 1_000;

/** Exponentially decaying count of the requests for a service; created by {@link createArrivals}. */
export interface Arrivals {
    /** Sum of the weights of all arrivals; the weight of each begins at 1 and decays. */
    weighted: number;
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
 * @returns the count, 0
 */
export function createArrivals(now: Milliseconds): Arrivals {
    return { weighted: 0, updatedAt: now };
}

function decayCount(arrivals: Arrivals, now: Milliseconds): number {
    return arrivals.weighted * 2 ** (-Math.max(0, now - arrivals.updatedAt) / halfLife);
}

/**
 * Counts the arrival of a request.
 *
 * @param arrivals - count to change
 * @param now - monotonic time
 */
export function recordArrival(arrivals: Arrivals, now: Milliseconds): void {
    arrivals.weighted = decayCount(arrivals, now) + 1;
    arrivals.updatedAt = now;
}

/**
 * Computes the recent arrival rate of requests.
 *
 * @param arrivals - the count
 * @param now - monotonic time
 * @returns exponentially weighted rate in requests per millisecond
 */
export function readArrivalRate(arrivals: Arrivals, now: Milliseconds): number {
    return decayCount(arrivals, now) * Math.LN2 / halfLife;
}
