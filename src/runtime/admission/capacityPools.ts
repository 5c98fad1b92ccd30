import type { Milliseconds, RequestRow } from "../../types/index.js";
import type { AdmissionTable, CapacityPool } from "./types.js";

function findPool({ pools }: AdmissionTable, { capacityPool }: RequestRow): CapacityPool | undefined {
    return capacityPool === undefined ? undefined : pools.get(capacityPool);
}

/**
 * Tells whether the part of the backend servers that may serve a request has a slot free. A request that is confined to
 * a part without one must neither take a slot of the others nor keep requests behind it from starting.
 *
 * @param table - admission table
 * @param request - request that is offered or queued
 * @returns false if all slots of its pool are taken; true for a request that any backend server may serve
 */
export function hasSlotInPool(table: AdmissionTable, request: RequestRow): boolean {
    const pool = findPool(table, request);
    return pool === undefined || table.inProgress.size < pool.capacity;
}

/**
 * Lists the pools to which queued requests are confined.
 *
 * @param table - admission table
 * @returns their names
 */
export function listQueuedPools({ queued }: AdmissionTable): ReadonlySet<string> {
    const names = new Set<string>();
    for (const { capacityPool } of queued.values()) {
        if (capacityPool !== undefined) {
            names.add(capacityPool);
        }
    }
    return names;
}

/** Counts the queued requests of the pool of a request that came before it; its own rank decides among the others. */
function countAheadInPool({ queued }: AdmissionTable, { capacityPool, priority, receivedAt }: RequestRow): number {
    let ahead = 0;
    for (const other of queued.values()) {
        if (
            other.capacityPool === capacityPool &&
            (other.priority > priority || (other.priority === priority && other.receivedAt < receivedAt))
        ) {
            ahead++;
        }
    }
    return ahead;
}

/**
 * Computes the expected wait of a request for a slot of its pool.
 *
 * @param table - admission table
 * @param request - request that is offered or queued
 * @param startRate - requests of its rank that start in a millisecond at all backend servers together
 * @returns milliseconds; 0 for a request that any backend server may serve
 */
export function computePoolWait(table: AdmissionTable, request: RequestRow, startRate: number): Milliseconds {
    const pool = findPool(table, request);
    if (pool === undefined) {
        return 0;
    }
    const ahead = countAheadInPool(table, request);
    const free = pool.capacity - table.inProgress.size;
    return ahead < free ? 0 : (ahead + 1) / Math.max(Number.MIN_VALUE, startRate * pool.share);
}
