import type { Milliseconds, RequestRow } from "../../types/index.js";
import { computeArrivalRate } from "../gateway/demand.js";
import type { AdmissionTable } from "./types.js";

/** Share of the time that a caller has left for which it waits at most before it returns. */
const longestReturnShare = 1 / 3;
/**
 * Share of the throughput that is planned for returning callers even if new requests are expected to take all of it. A
 * tenth made more new requests late: in bench:days at 1.3 times the capacity, 69.4 % were on time instead of 72.3 %.
 */
const leastReturnShare = 0.02;
/** Time before a planned return from which on a returning caller is assigned to it; callers' clocks are not exact. */
const earliestReturn: Milliseconds = 20;
/** Time after a planned return until which it is kept. */
const latestReturn: Milliseconds = 500;

/** Share of the time left that a late request may wait; the other half is for its answer. */
const lateWaitShare = 0.5;

/** Returns of refused callers that have capacity planned; created by {@link createReturnPlan}. */
export interface ReturnPlan {
    /** Monotonic times of the planned returns, earliest first. */
    readonly times: Milliseconds[];
}

/**
 * Creates an empty plan.
 *
 * @returns the plan
 */
export function createReturnPlan(): ReturnPlan {
    return { times: [] };
}

/** Removes the planned returns whose callers have not come back here; they may have gone to another gateway. */
function removePast({ times }: ReturnPlan, now: Milliseconds): void {
    while (times[0] !== undefined && times[0] < now - latestReturn) {
        times.shift();
    }
}

/** Computes the rate of starts that is left for returning callers after the new requests of the same or a higher rank. */
function computeReturnRate(table: AdmissionTable, priority: number, now: Milliseconds): number {
    const throughput = Math.max(1, table.capacity) / table.averageServiceTime;
    let expected = 0;
    for (const [rank, { fresh }] of table.demand.ranks) {
        expected += rank >= priority ? computeArrivalRate(fresh, now) : 0;
    }
    return Math.max(throughput * leastReturnShare, throughput - expected);
}

/**
 * Plans the return of a refused caller: after the returns that are planned already, at the rate that new requests of the
 * same or a higher rank leave. A caller that cannot be expected to start within a third of the time that it has left is
 * told the end of that third; nothing is planned for it.
 *
 * @param table - admission table; the return is added to its plan
 * @param request - refused request
 * @param earliest - monotonic time before which it cannot start
 * @param now - monotonic time
 * @returns monotonic time at which the caller is to return
 */
export function planReturn(
    table: AdmissionTable,
    request: RequestRow,
    earliest: Milliseconds,
    now: Milliseconds,
): Milliseconds {
    const { options: { maximumQueued, maximumRetryAfterSeconds }, returns } = table;
    removePast(returns, now);
    const longest = Math.min(
        maximumRetryAfterSeconds * 1_000,
        Math.max(0, (request.endsAt ?? Infinity) - now) * longestReturnShare,
    );
    const interval = 1 / computeReturnRate(table, request.priority, now);
    const at = Math.max(earliest, (returns.times.at(-1) ?? now) + interval);
    if (at > now + longest || returns.times.length >= maximumQueued) {
        return Math.max(now + longest, Math.min(earliest, now + maximumRetryAfterSeconds * 1_000));
    }
    returns.times.push(at);
    return at;
}

/**
 * Assigns a returning caller to the earliest planned return that is due. Callers that return before any is due are
 * assigned to none, so that frequent retries gain nothing.
 *
 * @param table - admission table; the planned return is removed from its plan
 * @param request - request that has arrived
 * @param now - monotonic time
 * @returns true if capacity was planned for it
 */
export function takePlannedReturn({ returns }: AdmissionTable, request: RequestRow, now: Milliseconds): boolean {
    removePast(returns, now);
    const hasReturned = request.missedTarget === true || request.hasReturned === true;
    if (!hasReturned || returns.times[0] === undefined || returns.times[0] > now + earliestReturn) {
        return false;
    }
    returns.times.shift();
    return true;
}

/**
 * Adapts the request of a returning caller. One that is late may wait for half of the time that it has left, since its
 * answer is of use until then. One that has returned before its time starts after the others of its rank, since it would
 * gain by ignoring the time otherwise.
 *
 * @param request - request that has arrived
 * @param isPlanned - true if capacity was planned for it
 * @param now - monotonic time
 * @returns the request; unchanged if its caller has not returned
 */
export function adaptReturned(request: RequestRow, isPlanned: boolean, now: Milliseconds): RequestRow {
    if (request.missedTarget === true) {
        const lateStart = now + Math.max(0, (request.endsAt ?? now) - now) * lateWaitShare;
        return { ...request, deadline: Math.max(request.deadline, lateStart) };
    }
    return request.hasReturned === true && !isPlanned ? { ...request, missedTarget: true } : request;
}
