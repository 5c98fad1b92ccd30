import type { ClientAccount, Milliseconds, RequestRow } from "../../types/index.js";
import type { AdmissionTable } from "./types.js";

/**
 * Computes the places to which an account is entitled while other accounts wait.
 *
 * @param table - admission table
 * @param account - account that is counted even if it has no request in the table yet
 * @returns places in progress, at least 1
 */
export function computeFairShare(table: AdmissionTable, account: ClientAccount): number {
    let accounts = table.inProgressByAccount.size;
    for (const queuedAccount of table.queuedByAccount.keys()) {
        if (!table.inProgressByAccount.has(queuedAccount)) {
            accounts += 1;
        }
    }
    if (!table.inProgressByAccount.has(account) && !table.queuedByAccount.has(account)) {
        accounts += 1;
    }
    const { maximumAccountShare, maximumInProgress } = table.options;
    return Math.max(1, Math.floor(maximumInProgress * Math.min(maximumAccountShare, 1 / accounts)));
}

function isWithinShare(table: AdmissionTable, account: ClientAccount, share: number): boolean {
    return (table.inProgressByAccount.get(account) ?? 0) < share;
}

/**
 * Compares requests by priority, then deadline, then arrival.
 *
 * @param left - a request
 * @param right - another request
 * @returns negative if `left` comes first
 */
export function compareUrgency(left: RequestRow, right: RequestRow): number {
    return right.priority - left.priority || left.deadline - right.deadline || left.receivedAt - right.receivedAt;
}

/**
 * Finds the request to start next: accounts below their fair share first, among them the most urgent request; the
 * places that those accounts leave go to the most urgent request of the others.
 *
 * @param table - admission table
 * @returns the request; undefined if none waits
 */
export function findNext(table: AdmissionTable): RequestRow | undefined {
    const share = computeFairShare(table, "");
    let best: RequestRow | undefined;
    let bestWithin = false;
    for (const request of table.queued.values()) {
        const within = isWithinShare(table, request.clientAccount, share);
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
    const share = computeFairShare(table, request.clientAccount);
    const within = isWithinShare(table, request.clientAccount, share);
    let ownAhead = 0;
    let ahead = 0;
    for (const other of table.queued.values()) {
        if (other.requestId === request.requestId) {
            continue;
        }
        const earlier = compareUrgency(other, request) <= 0;
        if (other.clientAccount === request.clientAccount) {
            ownAhead += earlier ? 1 : 0;
        }
        else if (isWithinShare(table, other.clientAccount, share) === within ? earlier : !within) {
            ahead += 1;
        }
    }
    return Math.max(ahead, countFairTurns(table, request.clientAccount, ownAhead, share)) + ownAhead;
}

function countFairTurns(table: AdmissionTable, account: ClientAccount, ownAhead: number, share: number): number {
    const inProgress = table.inProgressByAccount.get(account) ?? 0;
    const turns = inProgress + ownAhead - share;
    if (turns < 0) {
        return 0;
    }
    let count = 0;
    for (const [other, queued] of table.queuedByAccount) {
        if (other !== account) {
            count += Math.min(queued, turns + 1);
        }
    }
    return count;
}

/**
 * Computes the expected wait of a request.
 *
 * @param table - admission table
 * @param ahead - requests that start before it
 * @returns milliseconds until a place is free for it
 */
export function computeExpectedWait(table: AdmissionTable, ahead: number): Milliseconds {
    const { maximumInProgress } = table.options;
    const free = maximumInProgress - table.inProgress.size;
    if (ahead < free && table.alone.size === 0) {
        return 0;
    }
    return (ahead + 1) * table.averageServiceTime / maximumInProgress;
}
