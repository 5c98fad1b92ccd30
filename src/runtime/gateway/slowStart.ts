import type { Milliseconds, SlowStartRow } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";

/** What a gateway knows about how cold a backend server is, in its current lifetime. */
export interface ColdState {
    /** Start of the backend server in milliseconds since 1970; undefined if it is not known. */
    startedAt: number | undefined;
    /** Monotonic time until which it stays cold by its newest statement; undefined if it has stated nothing. */
    statedUntil: Milliseconds | undefined;
    /** Monotonic time at which its lifetime became known here. */
    readonly seenAt: Milliseconds;
    /** Monotonic time until which a newer entry or report may still show that it was restarted or is cold. */
    unknownUntil: Milliseconds;
}

/** Times at which {@link computeColdUntil} evaluates a state. */
export interface ColdTimes {
    readonly now: Milliseconds;
    /** Milliseconds since 1970. */
    readonly wall: number;
    /** Monotonic time at which the evacuation of its zone was lifted; undefined if there was none. */
    readonly liftedAt: Milliseconds | undefined;
}

/** Share of one gateway in the requests that a cold backend server tolerates. */
export interface ColdShare {
    /** True if this gateway may send it requests while it is cold. */
    readonly isHolder: boolean;
    /** Time between two requests of a holder. */
    readonly interval: Milliseconds;
}

/** Input of {@link computeColdShare}. */
export interface ColdShareInput {
    readonly lifetime: string;
    /** Requests per second that it tolerates from all gateways together. */
    readonly requestsPerSecond: number;
    /** Identifier of this gateway. */
    readonly self: string;
    /** Identifiers of all gateways that may exist, this one included. */
    readonly gateways: readonly string[];
}

/**
 * Share of the limit that the holders divide among them. Half of it keeps the total within the limit while gateways know
 * more than half of all gateways, as after a simultaneous start.
 */
const dividedShare = 0.5;
/**
 * Maximum number of holders, as a share of the requests per second, and in addition to it. Each holder may begin a second
 * with a request beyond its rate, and a backend server tolerates 1.5 times the limit and 5 requests in a second.
 */
const holderShare = 0.5;
const additionalHolders = 2;

/**
 * Computes until when a backend server is cold. One whose state is not known counts as cold.
 *
 * @param state - what is known about it
 * @param slowStart - slow start of its service
 * @param times - present times, and the end of the last evacuation of its zone
 * @returns monotonic time; in the past if it is not cold
 */
export function computeColdUntil(state: ColdState, { duration }: SlowStartRow, times: ColdTimes): Milliseconds {
    const { seenAt, startedAt, statedUntil, unknownUntil } = state;
    const { liftedAt = -Infinity, now, wall } = times;
    let fromStart = -Infinity;
    if (startedAt !== undefined) {
        // A start in the future shows that the clocks differ.
        fromStart = now + Math.min(duration, duration - (wall - startedAt));
    }
    else if (statedUntil === undefined) {
        fromStart = seenAt + duration;
    }
    return Math.max(fromStart, statedUntil ?? -Infinity, unknownUntil, liftedAt + duration);
}

/**
 * Computes the share of a gateway in the requests that a cold backend server tolerates. All gateways choose the same
 * holders by rendezvous hashing; the others send it nothing while it is cold.
 *
 * @param input - limit and gateways
 * @returns the share
 */
export function computeColdShare({ gateways, lifetime, requestsPerSecond, self }: ColdShareInput): ColdShare {
    const maximumHolders = Math.floor(requestsPerSecond * holderShare) + additionalHolders;
    const holders = Math.min(Math.max(1, gateways.length), maximumHolders);
    return {
        isHolder: gateways.length <= holders ||
            rankByRendezvous(`${lifetime}/cold`, gateways).indexOf(self) < holders,
        interval: holders * 1_000 / (requestsPerSecond * dividedShare),
    };
}

/**
 * Computes when a gateway may send the next request to a cold backend server. The first requests of the holders are
 * spread over the interval.
 *
 * @param share - share of the gateway
 * @param lastSentAt - monotonic time of its last request to the server; undefined if it has sent none
 * @param coldSince - monotonic time at which the server became cold here
 * @param draw - random number from 0 to 1
 * @returns monotonic time; infinite if the gateway is no holder
 */
export function computeColdSend(
    share: ColdShare,
    lastSentAt: Milliseconds | undefined,
    coldSince: Milliseconds,
    draw: number,
): Milliseconds {
    if (!share.isHolder) {
        return Infinity;
    }
    const first = coldSince + draw * share.interval;
    return lastSentAt === undefined ? first : Math.max(lastSentAt + share.interval, lastSentAt < coldSince ? first : 0);
}
