import type { ClientAccount, Milliseconds, RequestRow } from "../../types/index.js";
import { type ArrivalCount, computeArrivalRate, createArrivalCount, recordArrival } from "../gateway/demand.js";
import type { AdmissionTable } from "./types.js";

/** Time in which the weight of an arrival or a start in the comparison of shares halves. */
const shareHalfLife: Milliseconds = 4_000;
/** Arrivals within the half-life of the demand below which a rank does not count: a few requests prove no demand. */
const leastArrivals = 1;
/** Weight of the newest permitted wait in the moving average of a rank. */
const permittedWaitWeight = 0.1;
/** Share in the arrivals that is assumed for a rank without recent arrivals. */
const leastDemandShare = 0.01;
/** Largest share of the slots that is reserved for more urgent requests. */
const largestReservedShare = 0.5;

/** Arrivals and starts of a rank or an account, in decaying counts. */
export interface StartShare {
    readonly arrivals: ArrivalCount;
    readonly starts: ArrivalCount;
}

/** Demand of the requests with one priority. */
export interface RankDemand extends StartShare {
    /** Recent arrivals, for the arrival rate. */
    readonly recent: ArrivalCount;
    /** Recent arrivals of requests that have not missed their target. */
    readonly fresh: ArrivalCount;
    /** Moving average of the time that its requests may wait. */
    permittedWait: Milliseconds;
}

/** Demand by rank and account at one service; created by {@link createDemandTable}. */
export interface DemandTable {
    readonly all: StartShare;
    /** By priority: at most ten entries. */
    readonly ranks: Map<number, RankDemand>;
    /** Accounts with arrivals; those whose counts have decayed are removed. */
    readonly accounts: Map<ClientAccount, StartShare>;
}

function createShare(now: Milliseconds): StartShare {
    return { arrivals: createArrivalCount(now, shareHalfLife), starts: createArrivalCount(now, shareHalfLife) };
}

/**
 * Creates the demand of a service that has had no requests yet.
 *
 * @returns the table, without ranks and accounts
 */
export function createDemandTable(): DemandTable {
    return { all: createShare(0), ranks: new Map(), accounts: new Map() };
}

/** Removes the accounts whose counts have decayed, so that the table stays in proportion to the accounts in use. */
function removeIdleAccounts(demand: DemandTable, now: Milliseconds): void {
    for (const [account, { arrivals }] of demand.accounts) {
        if (now - arrivals.updatedAt > 10 * shareHalfLife) {
            demand.accounts.delete(account);
        }
    }
}

/**
 * Counts a request that has arrived.
 *
 * @param demand - table to change
 * @param request - the request; its deadline is the latest time at which it may start
 * @param now - monotonic time
 */
export function recordDemand(demand: DemandTable, request: RequestRow, now: Milliseconds): void {
    const permittedWait = Math.max(0, request.deadline - now);
    const rank = demand.ranks.get(request.priority) ??
        { ...createShare(now), recent: createArrivalCount(now), fresh: createArrivalCount(now), permittedWait };
    demand.ranks.set(request.priority, rank);
    if (request.missedTarget !== true) {
        recordArrival(rank.fresh, now);
        rank.permittedWait += permittedWaitWeight * (permittedWait - rank.permittedWait);
    }
    let account = demand.accounts.get(request.clientAccount);
    if (account === undefined) {
        removeIdleAccounts(demand, now);
        account = createShare(now);
        demand.accounts.set(request.clientAccount, account);
    }
    for (const count of [rank.recent, rank.arrivals, account.arrivals, demand.all.arrivals]) {
        recordArrival(count, now);
    }
}

/**
 * Counts a request that has started.
 *
 * @param demand - table to change
 * @param request - the request
 * @param now - monotonic time
 */
export function recordStart(demand: DemandTable, request: RequestRow, now: Milliseconds): void {
    recordArrival(demand.all.starts, now);
    for (const share of [demand.ranks.get(request.priority), demand.accounts.get(request.clientAccount)]) {
        if (share !== undefined) {
            recordArrival(share.starts, now);
        }
    }
}

/**
 * Tells whether requests of different ranks compete. With one rank, or too little demand of the others, the order is
 * that of the accounts.
 *
 * @param table - admission table
 * @param now - monotonic time
 * @returns true if rank decides first
 */
export function isRanked({ demand, options }: AdmissionTable, now: Milliseconds): boolean {
    if (!options.rankReservation || demand.ranks.size < 2) {
        return false;
    }
    let ranks = 0;
    for (const { arrivals } of demand.ranks.values()) {
        ranks += computeArrivalRate(arrivals, now) * shareHalfLife >= leastArrivals ? 1 : 0;
    }
    return ranks > 1;
}

/**
 * Computes how many starts a rank or account lacks to its minimum share: the part of its arrivals that
 * `minimumRankShare` times the started part of all arrivals would have started.
 */
function computeOwedStarts(table: AdmissionTable, share: StartShare | undefined, now: Milliseconds): number {
    if (share === undefined) {
        return 0;
    }
    const { demand: { all }, options } = table;
    const arrivals = computeArrivalRate(all.arrivals, now);
    const startedShare = arrivals === 0 ? 1 : Math.min(1, computeArrivalRate(all.starts, now) / arrivals);
    const expected = options.minimumRankShare * startedShare * computeArrivalRate(share.arrivals, now);
    return (expected - computeArrivalRate(share.starts, now)) * shareHalfLife / Math.LN2;
}

/**
 * Tells whether a returning caller for which capacity was planned would soon be refused again. Before that, it waits
 * for capacity that new requests leave, since its answer is late in any case.
 */
function isPlannedUrgent({ planned }: AdmissionTable, request: RequestRow, now: Milliseconds): boolean {
    return planned.has(request.requestId) && now - request.receivedAt > (request.deadline - request.receivedAt) / 2;
}

/**
 * Tells whether a request belongs to a rank or an account that lacks at least one whole start to its minimum share.
 * Less than one would put each request of a small account before more urgent ones. A returning caller for which capacity
 * was planned is owed a start as well.
 *
 * @param table - admission table
 * @param request - queued request
 * @param now - monotonic time
 * @returns true if it starts before more urgent requests
 */
export function isOwedStart(table: AdmissionTable, request: RequestRow, now: Milliseconds): boolean {
    const { accounts, ranks } = table.demand;
    return isPlannedUrgent(table, request, now) || computeOwedStarts(table, ranks.get(request.priority), now) >= 1 ||
        computeOwedStarts(table, accounts.get(request.clientAccount), now) >= 1;
}

/**
 * Computes the arrival rate of the requests that are more urgent than a priority.
 *
 * @param table - admission table
 * @param priority - priority of the less urgent request
 * @param now - monotonic time
 * @returns requests per millisecond
 */
export function computeMoreUrgentRate(table: AdmissionTable, priority: number, now: Milliseconds): number {
    let rate = 0;
    for (const [rank, { recent }] of table.demand.ranks) {
        rate += rank > priority ? computeArrivalRate(recent, now) : 0;
    }
    return rate;
}

/**
 * Computes the arrival rate of the requests with a priority that have not missed their target.
 *
 * @param table - admission table
 * @param priority - the priority
 * @param now - monotonic time
 * @returns requests per millisecond
 */
export function computeFreshRate({ demand }: AdmissionTable, priority: number, now: Milliseconds): number {
    const rank = demand.ranks.get(priority);
    return rank === undefined ? 0 : computeArrivalRate(rank.fresh, now);
}

/**
 * Computes the share of a rank in the arrivals.
 *
 * @param table - admission table
 * @param priority - priority of the rank
 * @param now - monotonic time
 * @returns share above 0, at most 1
 */
export function computeDemandShare(table: AdmissionTable, priority: number, now: Milliseconds): number {
    const { all, ranks } = table.demand;
    const rank = ranks.get(priority);
    const arrivals = rank === undefined ? 0 : computeArrivalRate(rank.arrivals, now);
    return Math.max(leastDemandShare, arrivals / Math.max(Number.MIN_VALUE, computeArrivalRate(all.arrivals, now)));
}

/**
 * Computes the slots that a request leaves free for more urgent ones (trunk reservation): the more urgent arrivals that
 * are expected within the time that they may wait, and a standard deviation of their number, less the slots that become
 * free in that time. Arrivals that find a slot by then are not refused, so nothing is reserved for them.
 *
 * @param table - admission table
 * @param priority - priority of the request
 * @param now - monotonic time
 * @returns number of slots; 0 for the most urgent rank
 */
export function computeReservedSlots(table: AdmissionTable, priority: number, now: Milliseconds): number {
    const rate = computeMoreUrgentRate(table, priority, now);
    if (rate === 0) {
        return 0;
    }
    let window = Infinity;
    for (const [rank, { permittedWait }] of table.demand.ranks) {
        window = rank > priority ? Math.min(window, permittedWait) : window;
    }
    const arrivals = rate * window;
    const completions = table.inProgress.size * window / Math.max(1, table.averageServiceTime);
    const needed = Math.round(arrivals + Math.sqrt(arrivals) - completions);
    return Math.max(0, Math.min(needed, Math.floor(table.capacity * largestReservedShare)));
}
