import type { Milliseconds } from "../../types/index.js";

/** Maximum number of samples kept for each route, those of its newest requests. */
const maximumSamplesPerRoute = 64;
/** Maximum number of routes in a table; the one that was added first is evicted. */
const maximumRoutes = 4_096;

/** Ring buffer of the samples of the newest requests. */
interface RouteSamples {
    readonly newest: Milliseconds[];
    /** Index of the next value to be replaced. */
    next: number;
}

/** Durations measured on recent requests, by route. */
export interface RouteSampleTable {
    readonly routes: Map<string, RouteSamples>;
}

/**
 * Creates an empty table.
 *
 * @returns the table, without routes
 */
export function createRouteSampleTable(): RouteSampleTable {
    return { routes: new Map() };
}

function createRoute({ routes }: RouteSampleTable, route: string): RouteSamples {
    const [oldest] = routes.keys();
    if (oldest !== undefined && routes.size >= maximumRoutes) {
        routes.delete(oldest);
    }
    const row: RouteSamples = { newest: [], next: 0 };
    routes.set(route, row);
    return row;
}

/**
 * Adds the duration measured on a request.
 *
 * @param table - table to change
 * @param route - name of the route
 * @param sample - the duration
 */
export function addRouteSample(table: RouteSampleTable, route: string, sample: Milliseconds): void {
    const row = table.routes.get(route) ?? createRoute(table, route);
    row.newest[row.next] = sample;
    row.next = (row.next + 1) % maximumSamplesPerRoute;
}

/**
 * Reads a quantile of the samples of a route.
 *
 * @param table - the table
 * @param route - name of the route
 * @param quantile - from 0 for the shortest to 1 for the longest
 * @returns the duration; undefined if the route has no sample
 */
export function readRouteQuantile(
    { routes }: RouteSampleTable,
    route: string,
    quantile: number,
): Milliseconds | undefined {
    // Sorted as numbers without a function that compares them, since each request reads a quantile.
    const sorted = Float64Array.from(routes.get(route)?.newest ?? []).sort();
    return sorted[Math.floor((sorted.length - 1) * quantile)];
}
