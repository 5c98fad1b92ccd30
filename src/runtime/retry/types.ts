import type { Fingerprint, Milliseconds, Refusal, RequestRow } from "../../types/index.js";

/** Options of the retry decision. */
export interface RetryOptions {
    /** Retries that the budget gains with each request. Default: 0.1. */
    readonly budgetShare: number;
    /** Retries that the budget gains each second. Default: 1. */
    readonly budgetPerSecond: number;
    /** Most retries that the budget holds. Default: 100. */
    readonly budgetMaximum: number;
    /** Attempts at one request, the first included. Default: 3. */
    readonly maximumAttempts: number;
    /** Crashes of backend servers that one request may cause before it is refused for good. Default: 2. */
    readonly maximumCrashes: number;
    /** Time for which a refused fingerprint stays refused. Default: 600,000 ms. */
    readonly condemnedDuration: Milliseconds;
    /** Time after which an unproved suspicion is forgotten. Default: 60,000 ms. */
    readonly suspicionDuration: Milliseconds;
    /** Most fingerprints under suspicion. Default: 10,000; the oldest are dropped. */
    readonly maximumSuspects: number;
}

/** Retries that an entry instance may still make; created by `createRetryBudget`. */
export interface RetryBudget {
    available: number;
    updatedAt: Milliseconds;
}

/** Standing of a fingerprint that was in progress when a backend server crashed. */
export interface SuspectRow {
    readonly fingerprint: Fingerprint;
    /** Crashes in which the request was in progress. */
    crashes: number;
    /** Crashes in which it was the only one. */
    crashesAlone: number;
    condemned: boolean;
    /** True once the request has finished alone; kept so that peers learn of it. */
    cleared: boolean;
    changedAt: Milliseconds;
}

/** Fingerprints under suspicion; created by `createSuspectTable`. */
export interface SuspectTable {
    readonly rows: Map<Fingerprint, SuspectRow>;
    readonly options: RetryOptions;
}

/** How a fingerprint has to be treated. */
export type SuspectStanding = "clear" | "suspect" | "condemned";

/** Input of `decideRetry`. */
export interface RetryInput {
    readonly request: RequestRow;
    readonly refusal: Refusal;
    readonly backendServerCrashed: boolean;
    /** Attempts made, the failed one included. */
    readonly attempts: number;
    /** True if a part of the answer has reached the caller. */
    readonly answerBegun: boolean;
    /**
     * False if nothing of the attempt reached its backend server, as when the connection was refused. The next attempt
     * adds no load then and takes nothing from the budget. Default: true.
     */
    readonly reachedServer?: boolean | undefined;
    /** True if an earlier attempt may have run; the final answer then says `unknown`. Default: false. */
    readonly mayHaveRun?: boolean | undefined;
    readonly standing: SuspectStanding;
    readonly budget: RetryBudget;
    readonly now: Milliseconds;
    readonly options: RetryOptions;
}

/** Result of `decideRetry`. */
export type RetryDecision =
    | { readonly kind: "retry"; readonly alone: boolean; readonly reason: string; }
    | { readonly kind: "give-up"; readonly refusal: Refusal; readonly reason: string; };
