import type { Milliseconds } from "../../types/index.js";
import { takeRetry } from "./budget.js";
import type { RetryBudget, RetryOptions } from "./types.js";

/** Input of `decideHedge`. */
export interface HedgeInput {
    readonly idempotent: boolean;
    /** Attempts in flight, and those that have failed at a backend server. */
    readonly attempts: number;
    /** True if another attempt is in flight that began later or is not silent. */
    readonly isOtherResponsive: boolean;
    /** True if the answer has begun and no other backend server can continue it. */
    readonly mustComplete: boolean;
    /** True if the answer waits for its caller to read. */
    readonly waitsForCaller: boolean;
    /** True if the request, or a part of its prompt, may crash another backend server. */
    readonly mayCrash: boolean;
    /** True if another backend server can take the request. */
    readonly hasServer: boolean;
    /** Requests that wait at that backend server, as far as is known. */
    readonly waitingThere: number;
    /** Time that the request has left. */
    readonly remaining: Milliseconds;
    /** Least time that another attempt must have. */
    readonly needed: Milliseconds;
    readonly budget: RetryBudget;
    readonly now: Milliseconds;
    readonly options: RetryOptions;
}

/** Result of `decideHedge`: start another attempt beside the silent one, or leave that one alone. */
export interface HedgeDecision {
    readonly kind: "hedge" | "wait";
    readonly reason: string;
    /** True if the silence counts as a failure of the backend server. */
    readonly countsAgainstServer: boolean;
}

/** Reason against another attempt. */
interface Objection {
    readonly reason: string;
    readonly applies: (input: HedgeInput) => boolean;
    /** True if the backend server counts as failed all the same. */
    readonly countsAgainstServer?: boolean;
}

/** Reasons against another attempt, in the order in which they are checked. */
const objections: readonly Objection[] = [
    { reason: "the request is not idempotent", applies: ({ idempotent }) => !idempotent },
    { reason: "another attempt is not silent", applies: ({ isOtherResponsive }) => isOtherResponsive },
    { reason: "no other backend server can continue the answer", applies: ({ mustComplete }) => mustComplete },
    { reason: "the caller has not read what was sent", applies: ({ waitsForCaller }) => waitsForCaller },
    {
        reason: "the attempts are used up",
        applies: ({ attempts, options }) => attempts >= options.maximumAttempts,
    },
    { reason: "another attempt may crash its backend server", applies: ({ mayCrash }) => mayCrash },
    { reason: "too little time is left", applies: ({ needed, remaining }) => remaining < needed },
    { reason: "no other backend server can be chosen", applies: ({ hasServer }) => !hasServer },
    {
        // The attempt would wait behind requests that have no other one.
        reason: "requests wait at the other backend server",
        applies: ({ waitingThere }) => waitingThere > 0,
        countsAgainstServer: true,
    },
];

/**
 * Decides whether another attempt is started beside one that is silent, which continues in any case.
 *
 * @param input - attempts, time left and budget; one retry is taken from the budget if the attempt is started
 * @returns the decision
 */
export function decideHedge(input: HedgeInput): HedgeDecision {
    const objection = objections.find(({ applies }) => applies(input));
    if (objection !== undefined) {
        const { countsAgainstServer = false, reason } = objection;
        return { kind: "wait", reason, countsAgainstServer };
    }
    return takeRetry(input.budget, input.now, input.options) ?
        { kind: "hedge", reason: "the backend server is silent", countsAgainstServer: true } :
        { kind: "wait", reason: "the retry budget is used up", countsAgainstServer: false };
}
