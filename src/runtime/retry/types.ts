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
    /** Time for which the answer to a request tells that it does not crash backend servers. Default: 30,000 ms. */
    readonly answerMemory: Milliseconds;
}

/** Retries that all gateways of a fleet may make at one service. */
export interface FleetRetryAllowance {
    /** Retries for each request, whatever the number of gateways. */
    readonly fleetRetryShare: number;
    /** Retries in a window beside that share; 0 if each process has the budget of its own options. */
    readonly fleetRetries: number;
    readonly fleetRetryWindow: Milliseconds;
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

/** Options of {@link CrashEvidence}. */
export type CrashEvidenceOptions = Pick<
    RetryOptions,
    "answerMemory" | "condemnedDuration" | "maximumCrashes" | "maximumSuspects" | "suspicionDuration"
>;

/** End of a backend server. */
export interface CrashRow {
    /** Lifetime of the backend server. */
    readonly crashId: string;
    /** Monotonic time at which it was noticed first. */
    readonly at: Milliseconds;
    /** Monotonic time at which it mattered last. */
    touchedAt: Milliseconds;
    /** Requests without an answer that were in progress there. */
    readonly fingerprints: Set<Fingerprint>;
}

/** Request that crashes are blamed on. */
export interface CrashSuspect {
    /** Crashes that no condemned request explains. */
    readonly crashes: number;
    readonly condemned: boolean;
}

/**
 * Crashes and answers by which gateways judge requests; created by `createCrashEvidence`. Entry instances have a
 * {@link SuspectTable} instead: their agents report crashes and run suspects alone, which gateways cannot.
 */
export interface CrashEvidence {
    readonly crashes: Map<string, CrashRow>;
    /** Monotonic time at which a request was answered last, oldest first. */
    readonly answers: Map<Fingerprint, Milliseconds>;
    /** What follows from crashes and answers. */
    readonly suspects: Map<Fingerprint, CrashSuspect>;
    readonly options: CrashEvidenceOptions;
}

/** Part of the evidence that others do not know yet. */
export interface EvidenceNews {
    readonly crashIds: readonly string[];
    /** Requests whose answers matter to others. */
    readonly answered: readonly Fingerprint[];
}

/** Crash as it is told to other processes. */
export interface SharedCrash {
    readonly crashId: string;
    readonly fingerprints: readonly Fingerprint[];
    /** Time since it was noticed. */
    readonly age: Milliseconds;
    /** Time since it mattered last. */
    readonly touchedAge: Milliseconds;
}

/** Evidence as it is told to other processes, whose clocks differ. */
export interface SharedEvidence {
    readonly crashes: readonly SharedCrash[];
    readonly answers: readonly { readonly fingerprint: Fingerprint; readonly age: Milliseconds; }[];
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
    /** False if one more attempt may crash another backend server and is left to the caller. Default: true. */
    readonly mayRepeat?: boolean | undefined;
    readonly budget: RetryBudget;
    readonly now: Milliseconds;
    readonly options: RetryOptions;
}

/** Result of `decideRetry`. */
export type RetryDecision =
    | { readonly kind: "retry"; readonly alone: boolean; readonly reason: string; }
    | { readonly kind: "give-up"; readonly refusal: Refusal; readonly reason: string; };
