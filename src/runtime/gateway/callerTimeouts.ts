import type { Milliseconds } from "../../types/index.js";
import { addRouteSample, createRouteSampleTable, readRouteQuantile, type RouteSampleTable } from "./routeSamples.js";

/** Quantile that serves as the typical timeout; retries, which have shorter ones, are rarely three quarters of all. */
const typicalTimeoutQuantile = 0.75;

/** Timeouts of recent callers by route: the time for which each stated that it will wait for its answer. */
export type CallerTimeoutTable = RouteSampleTable;

/**
 * Creates an empty table of timeouts.
 *
 * @returns the table, without routes
 */
export function createCallerTimeoutTable(): CallerTimeoutTable {
    return createRouteSampleTable();
}

/**
 * Estimates how long a caller has already waited before this attempt. The callers of a route usually start with the
 * same timeout, and one that was refused elsewhere has less time left when it retries.
 *
 * @param table - timeouts of recent callers, to which this one is added
 * @param route - name of the route
 * @param callerTimeout - time for which the caller will still wait
 * @returns time since the caller's first attempt; 0 if its timeout is typical or longer
 */
export function estimatePriorWait(table: CallerTimeoutTable, route: string, callerTimeout: Milliseconds): Milliseconds {
    addRouteSample(table, route, callerTimeout);
    return Math.max(0, readRouteQuantile(table, route, typicalTimeoutQuantile)! - callerTimeout);
}
