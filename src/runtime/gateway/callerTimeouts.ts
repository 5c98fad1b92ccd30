import type { Milliseconds } from "../../types/index.js";

/**
 * Maximum number of timeouts kept for each route, those of its newest requests; enough to distinguish the typical
 * timeout from the shorter ones of retries.
 */
const maximumTimeoutsPerRoute = 64;
/** Quantile that serves as the typical timeout; retries, which have shorter ones, are rarely three quarters of all. */
const typicalTimeoutQuantile = 0.75;
/** Maximum number of routes in the table; the one that was added first is evicted. */
const maximumRoutes = 4_096;

/** Ring buffer of the timeouts of the newest requests. */
interface RouteTimeouts {
    readonly newest: Milliseconds[];
    /** Index of the next value to be replaced. */
    next: number;
}

/** Timeouts of recent callers by route: the time for which each stated that it will wait for its answer. */
export interface CallerTimeoutTable {
    readonly routes: Map<string, RouteTimeouts>;
}

/**
 * Creates an empty table of timeouts.
 *
 * @returns the table, without routes
 */
export function createCallerTimeoutTable(): CallerTimeoutTable {
    return { routes: new Map() };
}

function findOrCreateRoute(table: CallerTimeoutTable, route: string): RouteTimeouts {
    const known = table.routes.get(route);
    if (known !== undefined) {
        return known;
    }
    if (table.routes.size >= maximumRoutes) {
        for (const oldest of table.routes.keys()) {
            table.routes.delete(oldest);
            break;
        }
    }
    const row: RouteTimeouts = { newest: [], next: 0 };
    table.routes.set(route, row);
    return row;
}

/**
 * Estimates how long a caller has already waited before this attempt. The callers of a route usually start with the
 * same timeout, and one that was refused elsewhere has less time left when it retries.
 *
 * @param table - table to which the caller is added
 * @param route - name of the route
 * @param callerTimeout - time for which the caller will still wait
 * @returns time since the caller's first attempt; 0 if its timeout is typical or longer
 */
export function estimatePriorWait(table: CallerTimeoutTable, route: string, callerTimeout: Milliseconds): Milliseconds {
    const row = findOrCreateRoute(table, route);
    row.newest[row.next] = callerTimeout;
    row.next = (row.next + 1) % maximumTimeoutsPerRoute;
    const sorted = [...row.newest].sort((left, right) => left - right);
    const typical = sorted[Math.floor((sorted.length - 1) * typicalTimeoutQuantile)]!;
    return Math.max(0, typical - callerTimeout);
}
