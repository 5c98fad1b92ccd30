import type { ClientAccount, Milliseconds, RequestRow } from "../../types/index.js";
import type { AdmissionTable } from "./types.js";

/**
 * Computes the places to which an account is entitled while other accounts wait.
 *
 * @param table - admission table
 * @param newcomer - account that is counted even if it has no request in the table yet
 * @returns places in progress, at least 1
 */
function computeFairShare(table: AdmissionTable, newcomer?: ClientAccount): number {
    const { inProgressByAccount, queuedByAccount } = table;
    let accounts = inProgressByAccount.size;
    for (const account of queuedByAccount.keys()) {
        accounts += inProgressByAccount.has(account) ? 0 : 1;
    }
    if (newcomer !== undefined && !inProgressByAccount.has(newcomer) && !queuedByAccount.has(newcomer)) {
        accounts += 1;
    }
    const share = Math.min(table.options.maximumAccountShare, 1 / Math.max(1, accounts));
    return Math.max(1, Math.floor(table.capacity * share));
}

function isWithinShare(table: AdmissionTable, account: ClientAccount, share: number): boolean {
    return (table.inProgressByAccount.get(account) ?? 0) < share;
}

/**
 * Compares requests by priority, then by whether they can still be answered in time, then deadline, then arrival. A
 * request that has missed its target gains little from an earlier place, which would make another one miss its own.
 *
 * @param left - a request
 * @param right - another request
 * @returns negative if `left` comes first
 */
export function compareUrgency(left: RequestRow, right: RequestRow): number {
    return right.priority - left.priority || Number(left.missedTarget ?? false) - Number(right.missedTarget ?? false) ||
        left.deadline - right.deadline || left.receivedAt - right.receivedAt;
}

/**
 * Tells whether a request that has missed its target may start now, if there is a place at all.
 *
 * @param table - admission table
 * @returns false while the last places are kept for requests that can still be answered in time
 */
export function mayStartLate({ capacity, inProgress, options }: AdmissionTable): boolean {
    return inProgress.size < capacity * options.lateShare;
}

/** Counts the requests of a sorted list that are at least as urgent as a request. */
function countEarlier(sorted: readonly RequestRow[], request: RequestRow): number {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (compareUrgency(sorted[middle]!, request) <= 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * Adds a request to the queue.
 *
 * @param table - table to change
 * @param request - request that is not in the table
 */
export function enqueue(table: AdmissionTable, request: RequestRow): void {
    const sorted = table.queuedByAccount.get(request.clientAccount) ?? [];
    sorted.splice(countEarlier(sorted, request), 0, request);
    table.queuedByAccount.set(request.clientAccount, sorted);
    table.queued.set(request.requestId, request);
}

/**
 * Removes a request from the queue.
 *
 * @param table - table to change
 * @param request - queued request
 */
export function dequeue(table: AdmissionTable, request: RequestRow): void {
    const sorted = table.queuedByAccount.get(request.clientAccount)!;
    sorted.splice(sorted.indexOf(request), 1);
    if (sorted.length === 0) {
        table.queuedByAccount.delete(request.clientAccount);
    }
    table.queued.delete(request.requestId);
}

/**
 * Finds the request to start next: accounts below their fair share first, among them the most urgent request; the
 * places that those accounts leave go to the most urgent request of the others. Requests that have missed their target
 * are passed over while they may not start.
 *
 * @param table - admission table
 * @returns the request; undefined if none waits that may start
 */
export function findNext(table: AdmissionTable): RequestRow | undefined {
    const share = computeFairShare(table);
    const lateMayStart = mayStartLate(table);
    let best: RequestRow | undefined;
    let bestWithin = false;
    for (const [account, sorted] of table.queuedByAccount) {
        const request = lateMayStart ? sorted[0] : sorted.find(({ missedTarget }) => missedTarget !== true);
        if (request === undefined) {
            continue;
        }
        const within = isWithinShare(table, account, share);
        const better = best === undefined || (within === bestWithin ? compareUrgency(request, best) < 0 : within);
        if (better) {
            best = request;
            bestWithin = within;
        }
    }
    return best;
}

/**
 * Counts the queued requests that will start before a request. An account that uses its whole share gets one place for
 * each place of every other account that waits.
 *
 * @param table - admission table
 * @param request - request that is offered or queued
 * @returns number of requests
 */
export function countAhead(table: AdmissionTable, request: RequestRow): number {
    const { clientAccount } = request;
    const share = computeFairShare(table, clientAccount);
    const within = isWithinShare(table, clientAccount, share);
    const own = table.queuedByAccount.get(clientAccount) ?? [];
    const ownAhead = table.queued.has(request.requestId) ? own.indexOf(request) : countEarlier(own, request);
    const turns = (table.inProgressByAccount.get(clientAccount) ?? 0) + ownAhead - share + 1;
    let byUrgency = 0;
    let byTurns = 0;
    for (const [account, sorted] of table.queuedByAccount) {
        if (account === clientAccount) {
            continue;
        }
        if (isWithinShare(table, account, share) === within) {
            byUrgency += countEarlier(sorted, request);
        }
        else {
            byUrgency += within ? 0 : sorted.length;
        }
        byTurns += Math.min(sorted.length, Math.max(0, turns));
    }
    return Math.max(byUrgency, byTurns) + ownAhead;
}

/**
 * Computes the expected wait of a request.
 *
 * @param table - admission table
 * @param ahead - requests that start before it
 * @returns milliseconds until a place is free for it
 */
export function computeExpectedWait(table: AdmissionTable, ahead: number): Milliseconds {
    const free = table.capacity - table.inProgress.size;
    if (ahead < free && table.alone.size === 0) {
        return 0;
    }
    return (ahead + 1) * table.averageServiceTime / Math.max(1, table.capacity);
}
