import type { Milliseconds } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";

/**
 * Rate limit of a backend server, as this gateway knows it. It applies to one lifetime of the backend server, and to all
 * gateways together.
 */
export interface RateLimitRow {
    readonly lifetime: string;
    /** Requests per second; undefined once the backend server has stopped stating a limit. */
    requestsPerSecond: number | undefined;
    /** Monotonic time of the newest answer, to any gateway, that stated this. */
    statedAt: Milliseconds;
    /** Monotonic time at which this gateway last sent the backend server a request. */
    lastSentAt: Milliseconds;
    /** Random number from 0 to 1 that spreads the trial requests of the gateways. */
    readonly draw: number;
}

/** Share of one gateway in the rate limit of a backend server. */
export interface RateShare {
    /** True if this gateway is one of those that divide the limit among them; the others send trial requests only. */
    readonly isHolder: boolean;
    /** Time between two requests of a holder. */
    readonly interval: Milliseconds;
    /** Minimum time without a statement after which a gateway that is no holder sends a trial request. */
    readonly trialAfter: Milliseconds;
}

/** Statement about the rate limit of a backend server, as gateways exchange it. */
export interface SharedRateLimit {
    readonly lifetime: string;
    readonly requestsPerSecond: number | undefined;
    /** Time since an answer stated it. */
    readonly age: Milliseconds;
}

/** Input of {@link computeRateShare}. */
export interface RateShareInput {
    readonly lifetime: string;
    readonly requestsPerSecond: number;
    /** Identifier of this gateway. */
    readonly self: string;
    /** Identifiers of all gateways, this one included. */
    readonly gateways: readonly string[];
    /** Minimum time without a statement before a trial request. */
    readonly trialAfter: Milliseconds;
}

/** Minimum rate; at a limit of 0, no request would be sent that could reveal a new limit. */
const minimumRequestsPerSecond = 0.1;
/** Additional holders, so that a low limit is used even if one of the holders has failed. */
const additionalHolders = 2;
/** Maximum rate of all trial requests together, as a share of the limit. */
const trialShare = 0.25;
/** Factor by which a limit must change to be sent to other gateways at once. */
const significantChange = 1.25;

/**
 * Computes the share of a gateway in a rate limit. A share for each of many gateways would be less than one request per
 * window, and their first requests alone would exceed a low limit, so only as many gateways hold shares as the limit has
 * requests per second. All gateways choose the same holders by rendezvous hashing.
 *
 * @param input - limit and gateways
 * @returns the share
 */
export function computeRateShare(input: RateShareInput): RateShare {
    const { gateways, lifetime, self, trialAfter } = input;
    const rate = Math.max(minimumRequestsPerSecond, input.requestsPerSecond);
    const holders = Math.min(Math.max(1, gateways.length), Math.floor(rate) + additionalHolders);
    const others = gateways.length - holders;
    return {
        isHolder: others <= 0 || rankByRendezvous(lifetime, gateways).indexOf(self) < holders,
        interval: holders * 1_000 / rate,
        trialAfter: Math.max(trialAfter, others * 1_000 / (rate * trialShare)),
    };
}

/**
 * Computes when a gateway may send the next request to a backend server with a rate limit.
 *
 * @param row - the limit
 * @param share - share of the gateway
 * @returns monotonic time; in the past if it may send one now
 */
export function computeNextSend(
    row: Pick<RateLimitRow, "draw" | "lastSentAt" | "statedAt">,
    share: RateShare,
): Milliseconds {
    return share.isHolder ?
        row.lastSentAt + share.interval :
        Math.max(row.lastSentAt, row.statedAt) + share.trialAfter * (1 + row.draw);
}

/**
 * Tells whether a newly stated limit differs so much from the known one that other gateways need to know it soon.
 *
 * @param known - known limit; undefined for none
 * @param stated - newly stated limit; undefined for none
 * @returns true if only one of them is a limit, or their ratio is large
 */
export function isSignificantChange(known: number | undefined, stated: number | undefined): boolean {
    if (known === undefined || stated === undefined) {
        return known !== stated;
    }
    const lower = Math.max(minimumRequestsPerSecond, Math.min(known, stated));
    return Math.max(known, stated) > lower * significantChange;
}
