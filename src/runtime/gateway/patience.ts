import type { Milliseconds } from "../../types/index.js";

/**
 * Number of the newest requests of a route whose patience is kept; enough to tell the typical value from that of
 * callers who retry.
 */
const keptRequests = 64;
/** Quantile that is taken as the typical patience; callers who retry are hardly ever three in four. */
const typicalQuantile = 0.75;
/** Maximum number of routes in the table; the one that was added first is evicted. */
const keptRoutes = 4_096;

/** Ring buffer of the patience of the newest requests. */
interface RoutePatience {
    readonly newest: Milliseconds[];
    /** Index of the next value to be replaced. */
    next: number;
}

/** Patience of recent callers by route: the time for which each stated that it will wait for its answer. */
export interface PatienceTable {
    readonly routes: Map<string, RoutePatience>;
}

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export function createPatienceTable(): PatienceTable {
    return { routes: new Map() };
}

function findOrCreateRoute(table: PatienceTable, route: string): RoutePatience {
    const known = table.routes.get(route);
    if (known !== undefined) {
        return known;
    }
    if (table.routes.size >= keptRoutes) {
        for (const oldest of table.routes.keys()) {
            table.routes.delete(oldest);
            break;
        }
    }
    const row: RoutePatience = { newest: [], next: 0 };
    table.routes.set(route, row);
    return row;
}

/**
 * Estimates how long a caller has already waited before this attempt. The callers of a route usually start with the
 * same timeout, and one that was refused elsewhere has less time left when it retries.
 *
 * @param table - table to which the caller is added
 * @param route - name of the route
 * @param patience - time for which the caller will still wait
 * @returns time since the caller's first attempt; 0 if its patience is typical or longer
 */
export function estimateWaited(table: PatienceTable, route: string, patience: Milliseconds): Milliseconds {
    const row = findOrCreateRoute(table, route);
    row.newest[row.next] = patience;
    row.next = (row.next + 1) % keptRequests;
    const sorted = [...row.newest].sort((left, right) => left - right);
    const typical = sorted[Math.floor((sorted.length - 1) * typicalQuantile)]!;
    return Math.max(0, typical - patience);
}
