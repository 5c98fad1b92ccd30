import type { Milliseconds } from "../../types/index.js";

/** Newest requests of a route whose patience is kept; enough to tell its usual value from that of callers who return. */
const keptRequests = 64;
/** Share of the requests that are less patient than the usual one; callers who return are hardly ever three in four. */
const usualQuantile = 0.75;
/** Routes of which patience is kept; the one that was added first is forgotten. */
const keptRoutes = 4_096;

interface RoutePatience {
    readonly newest: Milliseconds[];
    next: number;
}

/** Patience of the newest callers, by route. */
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

function findRoute(table: PatienceTable, route: string): RoutePatience {
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
 * Estimates for how long a caller has waited before this attempt, from the time that it will still wait: the callers of
 * a route are usually equally patient, and one that was refused elsewhere has less time left when it returns.
 *
 * @param table - table to which the caller is added
 * @param route - name of the route
 * @param patience - time that the caller will still wait
 * @returns time since the caller's first attempt; 0 if it is as patient as usual
 */
export function estimateWaited(table: PatienceTable, route: string, patience: Milliseconds): Milliseconds {
    const row = findRoute(table, route);
    row.newest[row.next] = patience;
    row.next = (row.next + 1) % keptRequests;
    const sorted = [...row.newest].sort((left, right) => left - right);
    const usual = sorted[Math.floor((sorted.length - 1) * usualQuantile)]!;
    return Math.max(0, usual - patience);
}
