import type { InstanceId, Milliseconds, Offset } from "../../types/index.js";

/**
 * Newest answer of a witness to a holder. A holder is an agent to which a copy is assigned; its witnesses are the entry
 * instances that the placement lists for the copy.
 */
export interface WitnessAnswer {
    /**
     * Monotonic time of the holder at which it sent the question. The time of arrival would make an answer that was
     * delayed on the way, or that waited in a buffer while the holder was paused, look newer than it is.
     */
    readonly answeredAt: Milliseconds;
    /** True if the witness's own knowledge of the log was older than half of the hold duration. */
    readonly logUnreachable: boolean;
    /** Time since the witness started, at the time of its answer. */
    readonly uptime: Milliseconds;
}

/** Input of `evaluateHold`. */
export interface HoldInput {
    /** Witness sets that must each confirm: the copy's witnesses and, while they change, the previous ones. */
    readonly witnessSets: readonly (readonly InstanceId[])[];
    /**
     * Monotonic time at which the holder's knowledge of the log was current, counted back from the time at which it
     * asked for it; undefined before the first read.
     */
    readonly logKnownAt: Milliseconds | undefined;
    readonly answers: ReadonlyMap<InstanceId, WitnessAnswer>;
    readonly now: Milliseconds;
    readonly holdDuration: Milliseconds;
    /** Monotonic time at which the holder's process started; knowledge from before does not renew the hold. */
    readonly startedAt: Milliseconds;
    /**
     * The preceding decision for the same copy; undefined for the first. Without a hold that is still valid, only fresh
     * knowledge of the log gives one.
     */
    readonly preceding?: HoldDecision | undefined;
}

/** Whether a holder may keep using its copy. */
export interface HoldDecision {
    readonly held: boolean;
    readonly reason: "log-fresh" | "log-outage-confirmed" | "lapsed";
    /** Monotonic time at which the hold lapses unless it is renewed. */
    readonly validUntil: Milliseconds;
}

/** What a proposer knows of a witness. */
export interface WitnessKnowledge {
    /** Time of its newest message, on the monotonic clock of the proposer. */
    readonly heardAt: Milliseconds;
    readonly appliedOffset: Offset;
    /** Time since the witness started, at `heardAt`. */
    readonly uptime: Milliseconds;
}

/** Confirmation of a revocation by majorities of the witness sets. */
export interface WitnessConfirmation {
    /** Monotonic time at which a majority of each set had confirmed. */
    readonly since: Milliseconds;
    /** Witnesses that had confirmed by then and have not restarted. */
    readonly witnesses: readonly InstanceId[];
}

/** Input of `evaluateReplacement`. */
export interface ReplacementInput {
    /** Offset of the record that revoked the copy. */
    readonly revokedAt: Offset;
    /** Witness sets that the holder may still know. */
    readonly witnessSets: readonly (readonly InstanceId[])[];
    readonly witnesses: { get(witness: InstanceId): WitnessKnowledge | undefined; };
    readonly preceding: WitnessConfirmation | undefined;
    readonly now: Milliseconds;
    readonly holdDuration: Milliseconds;
    readonly holdMargin: Milliseconds;
}

/** Whether the hold on a revoked copy has certainly expired. */
export interface ReplacementDecision {
    readonly state: "awaiting-confirmation" | "awaiting-expiry" | "expired";
    /** To be passed to the next evaluation; undefined if there is no majority of each set. */
    readonly confirmation: WitnessConfirmation | undefined;
}
