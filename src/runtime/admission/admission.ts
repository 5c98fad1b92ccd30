import type { ClientAccount, Milliseconds, Refusal, RefusalReason, RequestId, RequestRow } from "../../types/index.js";
import { compareUrgency, computeExpectedWait, countAhead, dequeue, enqueue, findNext, mayStartLate } from "./order.js";
import { createRefusal } from "./refusals.js";
import type { AdmissionDecision, AdmissionProgress, AdmissionTable } from "./types.js";

type Refused = AdmissionProgress["refuse"][number];

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
    const hasPlace = table.inProgress.size < table.capacity && (request.missedTarget !== true || mayStartLate(table));
    return hasPlace && !isAloneInProgress(table);
}

/** Starts queued requests while there are places; a request that has to run alone lets the others finish first. */
function fillPlaces(table: AdmissionTable, now: Milliseconds): RequestRow[] {
    const started: RequestRow[] = [];
    let next = findNext(table);
    while (next !== undefined && canStart(table, next)) {
        dequeue(table, next);
        start(table, next, now);
        started.push(next);
        next = findNext(table);
    }
    return started;
}

function takeDisplaced(table: AdmissionTable): Refused[] {
    return table.displaced.splice(0);
}

function refuseQueued(
    table: AdmissionTable,
    request: RequestRow,
    reason: RefusalReason,
    wait: Milliseconds,
    now: Milliseconds,
): Refused {
    dequeue(table, request);
    table.alone.delete(request.requestId);
    const refusal: Refusal = createRefusal(table, request, reason, wait, now);
    return { request, refusal };
}

function countQueued(table: AdmissionTable, account: ClientAccount): number {
    return table.queuedByAccount.get(account)?.length ?? 0;
}

/** Finds the least urgent request of the account with the most queued requests, if a newcomer may take its place. */
function findDisplaceable(table: AdmissionTable, newcomer: RequestRow): RequestRow | undefined {
    let largest = newcomer.clientAccount;
    let largestQueued = countQueued(table, largest) + 1;
    for (const [account, { length }] of table.queuedByAccount) {
        if (length > largestQueued) {
            largest = account;
            largestQueued = length;
        }
    }
    const last = table.queuedByAccount.get(largest)?.at(-1);
    if (last === undefined || largest !== newcomer.clientAccount) {
        return last;
    }
    return newcomer.priority > last.priority ? last : undefined;
}

function selectFullReason(table: AdmissionTable, request: RequestRow): RefusalReason {
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
 * Decides on a new request. If it takes the place of a queued request, that one is in `displaced` and its refusal is
 * part of the next progress; the caller then calls `expireRequests` at once.
 *
 * @param table - table to change
 * @param request - the request; its identifier must be new
 * @param now - monotonic time
 * @param alone - true if no other request may be in progress beside it. Default: false.
 * @returns start, queue with the expected wait, or an immediate refusal with the time after which to try again
 */
export function offerRequest(
    table: AdmissionTable,
    request: RequestRow,
    now: Milliseconds,
    alone = false,
): AdmissionDecision {
    if (request.deadline <= now) {
        return refuse(table, request, "deadline-passed", 0, now);
    }
    const wait = computeExpectedWait(table, countAhead(table, request));
    if (now + wait > request.deadline) {
        return refuse(table, request, "deadline-unreachable", wait, now);
    }
    if (alone) {
        table.alone.add(request.requestId);
    }
    if (table.queued.size === 0 && canStart(table, request)) {
        start(table, request, now);
        return { kind: "start" };
    }
    if (table.queued.size >= table.options.maximumQueued) {
        const displaced = findDisplaceable(table, request);
        if (displaced === undefined) {
            table.alone.delete(request.requestId);
            return refuse(table, request, selectFullReason(table, request), wait, now);
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
 * Frees the place of a request that has finished.
 *
 * @param table - table to change
 * @param requestId - request in progress; ignored if it is not
 * @param now - monotonic time
 * @returns requests to start, and requests that lost their place in the queue
 */
export function finishRequest(table: AdmissionTable, requestId: RequestId, now: Milliseconds): AdmissionProgress {
    const startedAt = release(table, requestId);
    if (startedAt !== undefined) {
        const weight = table.options.serviceTimeWeight;
        table.averageServiceTime += weight * (now - startedAt - table.averageServiceTime);
    }
    return { start: fillPlaces(table, now), refuse: takeDisplaced(table) };
}

/**
 * Removes a request whose caller has given up.
 *
 * @param table - table to change
 * @param requestId - queued request or request in progress; ignored if it is neither
 * @param now - monotonic time
 * @returns requests to start, and the canceled request with `ran: "no"` if it had not started
 */
export function cancelRequest(table: AdmissionTable, requestId: RequestId, now: Milliseconds): AdmissionProgress {
    const refused = takeDisplaced(table);
    const queued = table.queued.get(requestId);
    if (queued !== undefined) {
        dequeue(table, queued);
        table.alone.delete(requestId);
        refused.push({ request: queued, refusal: { ran: "no", reason: "canceled", retryAfterSeconds: 0 } });
    }
    release(table, requestId);
    return { start: fillPlaces(table, now), refuse: refused };
}

/**
 * Refuses the queued requests that can no longer start before their deadline, without waiting until it has passed.
 *
 * @param table - table to change
 * @param now - monotonic time
 * @returns refused requests with `ran: "no"`, and requests that start in places that became free
 */
export function expireRequests(table: AdmissionTable, now: Milliseconds): AdmissionProgress {
    const refused = takeDisplaced(table);
    const longestWait = computeExpectedWait(table, table.queued.size);
    const atRisk = [...table.queued.values()].filter(({ deadline }) => deadline <= now || deadline < now + longestWait);
    for (const request of atRisk.sort(compareUrgency)) {
        if (request.deadline <= now) {
            refused.push(refuseQueued(table, request, "deadline-passed", 0, now));
            continue;
        }
        const wait = computeExpectedWait(table, countAhead(table, request));
        if (now + wait > request.deadline) {
            refused.push(refuseQueued(table, request, "deadline-unreachable", wait, now));
        }
    }
    return { start: fillPlaces(table, now), refuse: refused };
}

/**
 * Refuses a request because no backend server takes requests before a certain time.
 *
 * @param table - table to change
 * @param request - request that is neither queued nor in progress
 * @param resumesAt - monotonic time at which the first backend server may be asked again
 * @param now - monotonic time
 * @returns the refusal, with a time to come back after that time
 */
export function refuseUntil(
    table: AdmissionTable,
    request: RequestRow,
    resumesAt: Milliseconds,
    now: Milliseconds,
): Refusal {
    return createRefusal(table, request, "turned-away", 0, now, resumesAt);
}

/**
 * Refuses all queued requests because no backend server takes requests before a certain time.
 *
 * @param table - table to change
 * @param resumesAt - monotonic time at which the first backend server may be asked again
 * @param now - monotonic time
 * @returns the refused requests, the most urgent first
 */
export function refuseQueuedUntil(
    table: AdmissionTable,
    resumesAt: Milliseconds,
    now: Milliseconds,
): AdmissionProgress {
    const refused = takeDisplaced(table);
    for (const request of [...table.queued.values()].sort(compareUrgency)) {
        dequeue(table, request);
        table.alone.delete(request.requestId);
        refused.push({ request, refusal: refuseUntil(table, request, resumesAt, now) });
    }
    return { start: [], refuse: refused };
}

/**
 * Changes how many requests may be in progress at once. Requests in progress beyond the new number go on.
 *
 * @param table - table to change
 * @param capacity - requests in progress at once
 * @param now - monotonic time
 * @returns requests to start in places that became free
 */
export function setCapacity(table: AdmissionTable, capacity: number, now: Milliseconds): AdmissionProgress {
    table.capacity = capacity;
    return { start: fillPlaces(table, now), refuse: takeDisplaced(table) };
}
