import type { Milliseconds } from "../../types/index.js";

/** Time in which the weight of an arrival halves. */
const halfLife: Milliseconds = 1_000;

/** Newest arrivals of requests for a service; created by {@link createArrivals}. */
export interface Arrivals {
    /** Number of arrivals, each with a weight that halves in the course of time. */
    weighted: number;
    /** Monotonic time to which the weights refer. */
    updatedAt: Milliseconds;
}

/** How busy a gateway is with a service. */
export interface ServiceDemand {
    /** Requests for the service that have lately come in a millisecond. */
    readonly arrivalRate: number;
    /** Mean time for which a request has its place. */
    readonly serviceTime: Milliseconds;
}

/**
 * Creates the arrivals of a service that has had no request yet.
 *
 * @param now - monotonic time
 * @returns the arrivals
 */
export function createArrivals(now: Milliseconds): Arrivals {
    return { weighted: 0, updatedAt: now };
}

function weigh(arrivals: Arrivals, now: Milliseconds): number {
    return arrivals.weighted * 2 ** (-Math.max(0, now - arrivals.updatedAt) / halfLife);
}

/**
 * Adds a request.
 *
 * @param arrivals - arrivals to change
 * @param now - monotonic time
 */
export function recordArrival(arrivals: Arrivals, now: Milliseconds): void {
    arrivals.weighted = weigh(arrivals, now) + 1;
    arrivals.updatedAt = now;
}

/**
 * Computes how many requests have lately come in a millisecond.
 *
 * @param arrivals - the arrivals
 * @param now - monotonic time
 * @returns requests a millisecond, of which half have come within the half-life
 */
export function readArrivalRate(arrivals: Arrivals, now: Milliseconds): number {
    return weigh(arrivals, now) * Math.LN2 / halfLife;
}
