import type { Fingerprint, Milliseconds, Refusal, RequestRow } from "../../types/index.js";

/** Options of the retry decision. */
export interface RetryOptions {
    /** Retries that the budget gains with each request. Default: 0.1. */
    readonly budgetShare: number;
    /** Retries that the budget gains each second. Default: 1. */
    readonly budgetPerSecond: number;
    /** Largest balance of the budget, in retries. Default: 100. */
    readonly budgetMaximum: number;
    /** Most attempts at one request, the first included. Default: 3. */
    readonly maximumAttempts: number;
    /** Crashes of backend servers after which a request is condemned: it is refused without an attempt. Default: 2. */
    readonly maximumCrashes: number;
    /** Time for which a request stays condemned after its last crash or attempt to send it. Default: 600,000 ms. */
    readonly condemnedDuration: Milliseconds;
    /** Time after which a suspect that was not condemned is forgotten. Default: 60,000 ms. */
    readonly suspicionDuration: Milliseconds;
    /** Most fingerprints of suspects that are stored; the oldest are dropped. Default: 40,000. */
    readonly maximumSuspects: number;
    /** Time for which a complete answer to a request rules it out as the cause of later crashes. Default: 30,000 ms. */
    readonly answerMemory: Milliseconds;
}

/** Retries that all gateways of a fleet may make at one service. */
export interface FleetRetryAllowance {
    /** Retries allowed per request, whatever the number of gateways. */
    readonly fleetRetryShare: number;
    /** Retries allowed per window in addition to that share; 0 if each process has a budget of its own instead. */
    readonly fleetRetries: number;
    /** Length of a window. */
    readonly fleetRetryWindow: Milliseconds;
}

/** Retries that a process may still make; created by `createRetryBudget`. */
export interface RetryBudget {
    available: number;
    updatedAt: Milliseconds;
}

/** What an entry instance knows of a request that was in progress when a backend server crashed. */
export interface SuspectRow {
    readonly fingerprint: Fingerprint;
    /** Crashes in which the request was in progress. */
    crashes: number;
    /** Crashes in which it was the only request. */
    crashesAlone: number;
    condemned: boolean;
    /**
     * True once the request has finished while it ran alone; the row is kept so that the other entry instances learn of
     * it.
     */
    cleared: boolean;
    changedAt: Milliseconds;
}

/** Requests that were in progress in crashes, the one stored longest ago first; created by `createSuspectTable`. */
export interface SuspectTable {
    readonly rows: Map<Fingerprint, SuspectRow>;
    readonly options: RetryOptions;
}

/** Options of {@link CrashEvidence}. */
export type CrashEvidenceOptions = Pick<
    RetryOptions,
    "answerMemory" | "condemnedDuration" | "maximumCrashes" | "maximumSuspects" | "suspicionDuration"
>;

/** What may be the cause if a request crashes its backend server: the request, and the shared parts of its prompt. */
export type RequestCauses = Pick<RequestRow, "fingerprint" | "partFingerprints">;

/** Crash of a backend server. */
export interface CrashRow {
    /** Identifies the lifetime of the backend server, from its start to its crash. */
    readonly crashId: string;
    /** Monotonic time at which the crash was first noticed. */
    at: Milliseconds;
    /** Monotonic time of the crash or, if that is later, at which one of its condemned requests was last sent. */
    touchedAt: Milliseconds;
    /** Requests without a complete answer that were in progress on the server, and the shared parts of their prompts. */
    readonly fingerprints: Set<Fingerprint>;
    /** Number of events that had arrived of each answer that had begun, the longest one for a part. */
    readonly events: Map<Fingerprint, number>;
}

/** Request, or part of a prompt that requests share, that may have crashed backend servers. */
export interface CrashSuspect {
    /**
     * Crashes that it may have caused; for one that is not condemned, without those attributed to a condemned request.
     */
    readonly crashes: number;
    readonly condemned: boolean;
    /**
     * Parts of prompts that were in nearly all of the same crashes, this one included; only for a part that would be
     * condemned without the others.
     */
    readonly rivals?: ReadonlySet<Fingerprint> | undefined;
}

/**
 * Crashes and answers from which gateways derive which requests, and which parts of prompts, crash backend servers; created by
 * `createCrashEvidence`. Entry instances use a {@link SuspectTable} instead: agents report crashes to them and run
 * suspects alone, which is not possible for gateways.
 */
export interface CrashEvidence {
    readonly crashes: Map<string, CrashRow>;
    /** Monotonic time at which the last answer to each request, or to one with the part, was complete, oldest first. */
    readonly answers: Map<Fingerprint, Milliseconds>;
    /** Derived from `crashes` and `answers` whenever they change. */
    readonly suspects: Map<Fingerprint, CrashSuspect>;
    readonly options: CrashEvidenceOptions;
}

/** Part of the evidence that other processes may not know yet. */
export interface EvidenceDelta {
    readonly crashIds: readonly string[];
    /** Requests and parts whose answers have to be shared. */
    readonly answered: readonly Fingerprint[];
}

/** Crash as it is sent to other processes. */
export interface SharedCrash {
    readonly crashId: string;
    readonly fingerprints: readonly Fingerprint[];
    /** Number of events that had arrived of each answer that had begun, the longest one for a part. Default: none had. */
    readonly events?: ReadonlyMap<Fingerprint, number> | undefined;
    /** Time since the crash was first noticed. */
    readonly age: Milliseconds;
    /** Time since the crash or, if that is shorter, since one of its condemned requests was last sent. */
    readonly touchedAge: Milliseconds;
}

/** Evidence as it is sent to other processes; it holds ages, since monotonic clocks differ between processes. */
export interface SharedEvidence {
    readonly crashes: readonly SharedCrash[];
    readonly answers: readonly { readonly fingerprint: Fingerprint; readonly age: Milliseconds; }[];
}

/**
 * How a request has to be treated: sent as usual, run alone if possible since it may have crashed a backend server, or
 * refused since it crashes backend servers.
 */
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
    /** True if the request has ended, by a time limit or because its caller left. Default: false. */
    readonly isOver?: boolean | undefined;
    /**
     * False if nothing of the attempt reached its backend server, as when the connection was refused. The retry then
     * adds no load and takes nothing from the budget. Default: true.
     */
    readonly reachedServer?: boolean | undefined;
    /** True if an earlier attempt may have run; the final answer then says `unknown`. Default: false. */
    readonly mayHaveRun?: boolean | undefined;
    readonly standing: SuspectStanding;
    /** False if the request may crash another backend server, so that only the caller may repeat it. Default: true. */
    readonly mayRepeat?: boolean | undefined;
    readonly budget: RetryBudget;
    readonly now: Milliseconds;
    readonly options: RetryOptions;
}

/** Result of `decideRetry`; `alone` means that no other request may be in progress on the runner beside the retry. */
export type RetryDecision =
    | { readonly kind: "retry"; readonly alone: boolean; readonly reason: string; }
    | { readonly kind: "give-up"; readonly refusal: Refusal; readonly reason: string; };
