import type {
    BlockedReason,
    ClientAccount,
    Milliseconds,
    Refusal,
    RefusalReason,
    RequestId,
    RequestRow,
} from "../../types/index.js";
import { hasSlotInPool } from "./capacityPools.js";
import { adaptReturned, takePlannedReturn } from "./plannedReturns.js";
import { compareUrgency, computeExpectedWait, countAhead, dequeue, enqueue, findNext, mayStartLate } from "./queue.js";
import { computeReservedSlots, isOwedStart, isRanked, recordDemand, recordStart } from "./rankDemand.js";
import { createRefusal } from "./refusals.js";
import type { AdmissionDecision, AdmissionTable, CapacityPool, DequeuedRequests } from "./types.js";

type RefusedRequest = DequeuedRequests["refuse"][number];

function changeCount(counts: Map<string, number>, account: string, change: 1 | -1): void {
    const count = (counts.get(account) ?? 0) + change;
    if (count === 0) {
        counts.delete(account);
    }
    else {
        counts.set(account, count);
    }
}

function start(table: AdmissionTable, request: RequestRow, now: Milliseconds): void {
    table.inProgress.set(request.requestId, { request, startedAt: now });
    changeCount(table.inProgressByAccount, request.clientAccount, 1);
    if (table.options.rankReservation || table.options.plannedRetryAfter) {
        recordStart(table.demand, request, now);
    }
}

function isAloneInProgress(table: AdmissionTable): boolean {
    for (const requestId of table.alone) {
        if (table.inProgress.has(requestId)) {
            return true;
        }
    }
    return false;
}

function canStart(table: AdmissionTable, request: RequestRow): boolean {
    if (table.alone.has(request.requestId)) {
        return table.inProgress.size === 0;
    }
    const hasFreeSlot = table.inProgress.size < table.capacity &&
        (request.missedTarget !== true || table.planned.has(request.requestId) || mayStartLate(table));
    return hasFreeSlot && hasSlotInPool(table, request) && !isAloneInProgress(table);
}

/** Tells whether the free slots are reserved for requests that are more urgent. */
function isReserved(table: AdmissionTable, request: RequestRow, now: Milliseconds): boolean {
    const free = table.capacity - table.inProgress.size;
    return isRanked(table, now) && free <= computeReservedSlots(table, request.priority, now) &&
        !isOwedStart(table, request, now);
}

/**
 * Starts queued requests while slots are free. A request that has to run alone waits until all others have finished.
 */
function startQueued(table: AdmissionTable, now: Milliseconds): RequestRow[] {
    const started: RequestRow[] = [];
    let next = findNext(table, now);
    while (next !== undefined && canStart(table, next)) {
        dequeue(table, next);
        start(table, next, now);
        started.push(next);
        next = findNext(table, now);
    }
    return started;
}

function takeDisplaced(table: AdmissionTable): RefusedRequest[] {
    return table.displaced.splice(0);
}

function refuseQueued(
    table: AdmissionTable,
    request: RequestRow,
    reason: RefusalReason,
    wait: Milliseconds,
    now: Milliseconds,
): RefusedRequest {
    dequeue(table, request);
    table.alone.delete(request.requestId);
    const refusal: Refusal = createRefusal(table, request, reason, wait, now);
    return { request, refusal };
}

function countQueued(table: AdmissionTable, account: ClientAccount): number {
    return table.queuedByAccount.get(account)?.length ?? 0;
}

/**
 * Finds the queued request that an incoming request displaces: the least urgent one of the account with the most queued
 * requests. If that is the account of the incoming request, it is displaced only by a request of higher priority.
 */
function findDisplaceable(table: AdmissionTable, incoming: RequestRow): RequestRow | undefined {
    let largest = incoming.clientAccount;
    let largestQueued = countQueued(table, largest) + 1;
    for (const [account, { length }] of table.queuedByAccount) {
        if (length > largestQueued) {
            largest = account;
            largestQueued = length;
        }
    }
    const last = table.queuedByAccount.get(largest)?.at(-1);
    if (last === undefined || largest !== incoming.clientAccount) {
        return last;
    }
    return incoming.priority > last.priority ? last : undefined;
}

function selectQueueFullReason(table: AdmissionTable, request: RequestRow): RefusalReason {
    const queued = countQueued(table, request.clientAccount);
    const share = table.options.maximumQueued / Math.max(1, table.queuedByAccount.size);
    return table.queuedByAccount.size > 1 && queued >= share ? "account-share-exceeded" : "queue-full";
}

function refuse(
    table: AdmissionTable,
    request: RequestRow,
    reason: RefusalReason,
    wait: Milliseconds,
    now: Milliseconds,
): AdmissionDecision {
    return { kind: "refuse", refusal: createRefusal(table, request, reason, wait, now) };
}

/**
 * Decides whether a new request starts, waits or is refused. In a full queue it may displace a queued request, which is
 * then added to `displaced` and returned as refused by the next call that returns an {@link DequeuedRequests}; call
 * `expireRequests` right after this function, so that it is refused without delay.
 *
 * @param table - table to change
 * @param arrived - the request; its identifier must be new
 * @param now - monotonic time
 * @param alone - true if no other request may be in progress beside it. Default: false.
 * @returns start, queue with the expected wait, or an immediate refusal with the time after which to retry
 */
export function offerRequest(
    table: AdmissionTable,
    arrived: RequestRow,
    now: Milliseconds,
    alone = false,
): AdmissionDecision {
    const isPlanned = table.options.plannedRetryAfter && takePlannedReturn(table, arrived, now);
    if (isPlanned) {
        table.planned.add(arrived.requestId);
    }
    const request = table.options.plannedRetryAfter ? adaptReturned(arrived, isPlanned, now) : arrived;
    if (table.options.rankReservation || table.options.plannedRetryAfter) {
        recordDemand(table.demand, request, now);
    }
    if (request.deadline <= now) {
        table.planned.delete(request.requestId);
        return refuse(table, request, "deadline-passed", 0, now);
    }
    const wait = computeExpectedWait(table, countAhead(table, request, now), request, now);
    if (now + wait > request.deadline) {
        table.planned.delete(request.requestId);
        return refuse(table, request, "deadline-unreachable", wait, now);
    }
    if (alone) {
        table.alone.add(request.requestId);
    }
    if (table.queued.size === 0 && canStart(table, request) && !isReserved(table, request, now)) {
        start(table, request, now);
        table.planned.delete(request.requestId);
        return { kind: "start" };
    }
    if (table.queued.size >= table.options.maximumQueued) {
        const displaced = findDisplaceable(table, request);
        if (displaced === undefined) {
            table.alone.delete(request.requestId);
            table.planned.delete(request.requestId);
            return refuse(table, request, selectQueueFullReason(table, request), wait, now);
        }
        table.displaced.push(refuseQueued(table, displaced, "account-share-exceeded", wait, now));
    }
    enqueue(table, request);
    return { kind: "queue", expectedWait: wait };
}

function release(table: AdmissionTable, requestId: RequestId): Milliseconds | undefined {
    const running = table.inProgress.get(requestId);
    if (running === undefined) {
        return undefined;
    }
    table.inProgress.delete(requestId);
    table.alone.delete(requestId);
    changeCount(table.inProgressByAccount, running.request.clientAccount, -1);
    return running.startedAt;
}

/**
 * Frees the slot of a request that has finished.
 *
 * @param table - table to change
 * @param requestId - request in progress; ignored if it is not in progress
 * @param now - monotonic time
 * @returns requests to start, and requests that were displaced from the queue
 */
export function finishRequest(table: AdmissionTable, requestId: RequestId, now: Milliseconds): DequeuedRequests {
    const startedAt = release(table, requestId);
    if (startedAt !== undefined) {
        const weight = table.options.serviceTimeWeight;
        table.averageServiceTime += weight * (now - startedAt - table.averageServiceTime);
    }
    return { start: startQueued(table, now), refuse: takeDisplaced(table) };
}

/**
 * Removes a request that its caller has canceled.
 *
 * @param table - table to change
 * @param requestId - queued request or request in progress; ignored if it is neither
 * @param now - monotonic time
 * @returns requests to start, displaced requests, and the canceled request with `ran: "no"` if it had not started
 */
export function cancelRequest(table: AdmissionTable, requestId: RequestId, now: Milliseconds): DequeuedRequests {
    const refused = takeDisplaced(table);
    const queued = table.queued.get(requestId);
    if (queued !== undefined) {
        dequeue(table, queued);
        table.alone.delete(requestId);
        refused.push({ request: queued, refusal: { ran: "no", reason: "canceled", retryAfterSeconds: 0 } });
    }
    release(table, requestId);
    return { start: startQueued(table, now), refuse: refused };
}

/**
 * Refuses the queued requests that are not expected to start before their deadline, without waiting until it has
 * passed.
 *
 * @param table - table to change
 * @param now - monotonic time
 * @returns refused requests with `ran: "no"`, and requests to start in free slots
 */
export function expireRequests(table: AdmissionTable, now: Milliseconds): DequeuedRequests {
    const refused = takeDisplaced(table);
    const longestWaits = new Map<number | string, Milliseconds>();
    function isAtRisk(request: RequestRow): boolean {
        const { capacityPool, priority } = request;
        const key = capacityPool === undefined ? priority : `${priority} ${capacityPool}`;
        const longestWait = longestWaits.get(key) ?? computeExpectedWait(table, table.queued.size, request, now);
        longestWaits.set(key, longestWait);
        return request.deadline <= now || request.deadline < now + longestWait;
    }
    const atRisk = [...table.queued.values()].filter(isAtRisk);
    for (const request of atRisk.sort(compareUrgency)) {
        if (request.deadline <= now) {
            refused.push(refuseQueued(table, request, "deadline-passed", 0, now));
            continue;
        }
        const wait = computeExpectedWait(table, countAhead(table, request, now), request, now);
        if (now + wait > request.deadline && !table.planned.has(request.requestId)) {
            refused.push(refuseQueued(table, request, "deadline-unreachable", wait, now));
        }
    }
    return { start: startQueued(table, now), refuse: refused };
}

/**
 * Refuses a request because no backend server accepts requests before a certain time.
 *
 * @param table - table to change
 * @param request - request that is neither queued nor in progress
 * @param resumesAt - monotonic time at which the first backend server accepts requests again
 * @param now - monotonic time
 * @param reason - why it accepts none before. Default: it has turned requests away.
 * @returns the refusal; its `retryAfterSeconds` does not end before `resumesAt`
 */
export function refuseUntil(
    table: AdmissionTable,
    request: RequestRow,
    resumesAt: Milliseconds,
    now: Milliseconds,
    reason: BlockedReason = "turned-away",
): Refusal {
    return createRefusal(table, request, reason, 0, now, resumesAt);
}

/**
 * Refuses all queued requests because no backend server accepts requests before a certain time.
 *
 * @param table - table to change
 * @param resumesAt - monotonic time at which the first backend server accepts requests again
 * @param now - monotonic time
 * @param reason - why it accepts none before. Default: it has turned requests away.
 * @returns the refused requests, the most urgent first
 */
export function refuseQueuedUntil(
    table: AdmissionTable,
    resumesAt: Milliseconds,
    now: Milliseconds,
    reason: BlockedReason = "turned-away",
): DequeuedRequests {
    const refused = takeDisplaced(table);
    for (const request of [...table.queued.values()].sort(compareUrgency)) {
        dequeue(table, request);
        table.alone.delete(request.requestId);
        refused.push({ request, refusal: refuseUntil(table, request, resumesAt, now, reason) });
    }
    return { start: [], refuse: refused };
}

/**
 * Changes the slots of a pool. Call {@link setCapacity} afterwards, which starts the requests that have a slot now.
 *
 * @param table - table to change
 * @param name - name of the pool
 * @param pool - its slots; undefined to forget it
 */
export function setPool(table: AdmissionTable, name: string, pool: CapacityPool | undefined): void {
    if (pool === undefined) {
        table.pools.delete(name);
    }
    else {
        table.pools.set(name, pool);
    }
}

/**
 * Changes the number of slots. Requests that are in progress beyond the new number are not interrupted.
 *
 * @param table - table to change
 * @param capacity - most requests in progress at once
 * @param now - monotonic time
 * @returns requests to start in free slots, and requests that were displaced from the queue
 */
export function setCapacity(table: AdmissionTable, capacity: number, now: Milliseconds): DequeuedRequests {
    table.capacity = capacity;
    return { start: startQueued(table, now), refuse: takeDisplaced(table) };
}
