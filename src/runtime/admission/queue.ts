import type { ClientAccount, Milliseconds, RequestRow } from "../../types/index.js";
import { computePoolWait, hasSlotInPool } from "./capacityPools.js";
import {
    computeDemandShare,
    computeFreshRate,
    computeMoreUrgentRate,
    computeReservedSlots,
    isOwedStart,
    isRanked,
} from "./rankDemand.js";
import type { AdmissionTable } from "./types.js";

/**
 * Computes the number of slots to which each account is entitled while other accounts wait.
 *
 * @param table - admission table
 * @param newcomer - account that is counted even if it has no request in the table yet
 * @returns number of slots, at least 1
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
 * Compares requests by priority, then by whether they have missed their target, then by deadline, then by arrival. A
 * request that has already missed its target gains little from starting earlier, but would make another one miss its
 * own.
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
 * Tells whether a late request, one that has missed its target, may start now.
 *
 * @param table - admission table
 * @returns false if only the slots are free that are reserved for requests that have not missed their target
 */
export function mayStartLate({ capacity, inProgress, options }: AdmissionTable): boolean {
    return inProgress.size < capacity * options.lateShare;
}

/** Counts the requests of a list sorted by urgency that are at least as urgent as a request. */
function countAtLeastAsUrgent(sorted: readonly RequestRow[], request: RequestRow): number {
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

/** Counts the requests of a list sorted by urgency that have a higher priority than a request. */
function countOfHigherRank(sorted: readonly RequestRow[], { priority }: RequestRow): number {
    const index = sorted.findIndex(other => other.priority <= priority);
    return index < 0 ? sorted.length : index;
}

function countAtLeastAsHighRank(sorted: readonly RequestRow[], { priority }: RequestRow): number {
    const index = sorted.findIndex(other => other.priority < priority);
    return index < 0 ? sorted.length : index;
}

/**
 * Adds a request to the queue.
 *
 * @param table - table to change
 * @param request - request that is not in the table
 */
export function enqueue(table: AdmissionTable, request: RequestRow): void {
    const sorted = table.queuedByAccount.get(request.clientAccount) ?? [];
    sorted.splice(countAtLeastAsUrgent(sorted, request), 0, request);
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
    table.planned.delete(request.requestId);
}

/** Request that may start next, with what decides among several. */
interface RankedRequest {
    readonly request: RequestRow;
    readonly isOwed: boolean;
    readonly isWithin: boolean;
}

function compareRanked(left: RankedRequest, right: RankedRequest): number {
    return Number(right.isOwed) - Number(left.isOwed) || right.request.priority - left.request.priority ||
        Number(right.isWithin) - Number(left.isWithin) || compareUrgency(left.request, right.request);
}

/**
 * Finds the request to start next by rank: those that are owed a start for their minimum share, then the highest rank;
 * within a rank, the accounts below their fair share come first.
 */
function findNextByRank(table: AdmissionTable, now: Milliseconds): RequestRow | undefined {
    const share = computeFairShare(table);
    const lateMayStart = mayStartLate(table);
    const free = table.capacity - table.inProgress.size;
    let selected: RankedRequest | undefined;
    for (const [account, sorted] of table.queuedByAccount) {
        const isWithin = isWithinShare(table, account, share);
        let rank: number | undefined;
        for (const request of sorted) {
            const isPlanned = table.planned.has(request.requestId);
            const mayStart = (isPlanned || request.missedTarget !== true || lateMayStart) &&
                hasSlotInPool(table, request);
            if (!mayStart || (request.priority === rank && !isPlanned)) {
                continue;
            }
            rank = request.priority;
            const ranked = { request, isOwed: isOwedStart(table, request, now), isWithin };
            if (selected === undefined || compareRanked(ranked, selected) < 0) {
                selected = ranked;
            }
        }
    }
    return selected !== undefined &&
            (selected.isOwed || free > computeReservedSlots(table, selected.request.priority, now)) ?
        selected.request :
        undefined;
}

/**
 * Finds the request to start next: the most urgent one of the accounts below their fair share or, if none of those
 * wait, the most urgent one of the other accounts. Late requests are skipped while they may not start, and requests
 * confined to a pool while it has no slot free. If ranks
 * compete, the rank decides before the shares of the accounts.
 *
 * @param table - admission table
 * @param now - monotonic time
 * @returns the request; undefined if no queued request may start
 */
export function findNext(table: AdmissionTable, now: Milliseconds): RequestRow | undefined {
    if (isRanked(table, now) || table.planned.size > 0) {
        return findNextByRank(table, now);
    }
    const share = computeFairShare(table);
    const lateMayStart = mayStartLate(table);
    let selected: RequestRow | undefined;
    let isSelectedWithin = false;
    for (const [account, sorted] of table.queuedByAccount) {
        const request = sorted.find(queued =>
            (lateMayStart || queued.missedTarget !== true) && hasSlotInPool(table, queued)
        );
        if (request === undefined) {
            continue;
        }
        const isWithin = isWithinShare(table, account, share);
        const isBetter = selected === undefined ||
            (isWithin === isSelectedWithin ? compareUrgency(request, selected) < 0 : isWithin);
        if (isBetter) {
            selected = request;
            isSelectedWithin = isWithin;
        }
    }
    return selected;
}

/**
 * Estimates how many queued requests start before a request. An account that has used up its fair share alternates with
 * the other accounts that wait: each of them starts one request for each request of this account beyond the share.
 *
 * @param table - admission table
 * @param request - request that is offered or queued
 * @param now - monotonic time
 * @returns number of requests
 */
export function countAhead(table: AdmissionTable, request: RequestRow, now: Milliseconds): number {
    const { clientAccount } = request;
    const byRank = isRanked(table, now);
    const share = computeFairShare(table, clientAccount);
    const isWithin = isWithinShare(table, clientAccount, share);
    const own = table.queuedByAccount.get(clientAccount) ?? [];
    const ownAhead = table.queued.has(request.requestId) ? own.indexOf(request) : countAtLeastAsUrgent(own, request);
    const rounds = (table.inProgressByAccount.get(clientAccount) ?? 0) + ownAhead - share + 1;
    let aheadByUrgency = 0;
    let aheadByRounds = 0;
    for (const [account, sorted] of table.queuedByAccount) {
        if (account === clientAccount) {
            continue;
        }
        const moreUrgent = byRank ? countOfHigherRank(sorted, request) : 0;
        const competing = (byRank ? countAtLeastAsHighRank(sorted, request) : sorted.length) - moreUrgent;
        if (isWithinShare(table, account, share) === isWithin) {
            aheadByUrgency += countAtLeastAsUrgent(sorted, request);
        }
        else {
            aheadByUrgency += moreUrgent + (isWithin ? 0 : competing);
        }
        aheadByRounds += moreUrgent + Math.min(competing, Math.max(0, rounds));
    }
    return Math.max(aheadByUrgency, aheadByRounds) + ownAhead;
}

/**
 * Computes the rate at which requests with the rank of a request start while requests wait. Those that are more urgent
 * are expected to start first, up to the minimum share of the rank.
 *
 * @param table - admission table
 * @param request - the request
 * @param now - monotonic time
 * @returns requests per millisecond
 */
export function computeStartRate(table: AdmissionTable, request: RequestRow, now: Milliseconds): number {
    const throughput = Math.max(1, table.capacity) / table.averageServiceTime;
    if (!isRanked(table, now)) {
        return throughput;
    }
    if (isOwedStart(table, request, now)) {
        return throughput;
    }
    const granted = table.options.minimumRankShare * computeDemandShare(table, request.priority, now);
    const isLast = table.options.plannedRetryAfter && request.missedTarget === true &&
        !table.planned.has(request.requestId);
    const taken = computeMoreUrgentRate(table, request.priority, now) +
        (isLast ? computeFreshRate(table, request.priority, now) : 0);
    // No start is granted to late requests, so that those which new requests will delay are refused at once.
    return Math.max(isLast ? Number.MIN_VALUE : throughput * granted, throughput - taken);
}

/**
 * Computes the expected wait of a request.
 *
 * @param table - admission table
 * @param ahead - number of queued requests that start before it
 * @param request - the request
 * @param now - monotonic time
 * @returns milliseconds until a slot is free for it
 */
export function computeExpectedWait(
    table: AdmissionTable,
    ahead: number,
    request: RequestRow,
    now: Milliseconds,
): Milliseconds {
    const reserved = isRanked(table, now) ? computeReservedSlots(table, request.priority, now) : 0;
    const free = table.capacity - table.inProgress.size - reserved;
    const startRate = computeStartRate(table, request, now);
    const poolWait = computePoolWait(table, request, startRate);
    return ahead < free && table.alone.size === 0 ? poolWait : Math.max(poolWait, (ahead + 1) / startRate);
}
