import type { InstanceId, Milliseconds } from "../../types/index.js";

/** Newest answer of a witness to a holder. */
export interface WitnessAnswer {
    /** Monotonic time of the holder when the answer arrived. */
    readonly answeredAt: Milliseconds;
    /** True if the witness's own knowledge of the log was older than the hold duration. */
    readonly logUnreachable: boolean;
    /** Time since the witness started, at the time of its answer. */
    readonly uptime: Milliseconds;
}

/** Input of `evaluateHold`. */
export interface HoldInput {
    /** Witness sets that apply: the copy's witnesses and, during a change, the previous ones. */
    readonly witnessSets: readonly (readonly InstanceId[])[];
    /** Monotonic time at which the holder's knowledge of the log was current; undefined before the first read. */
    readonly logKnownAt: Milliseconds | undefined;
    readonly answers: ReadonlyMap<InstanceId, WitnessAnswer>;
    readonly now: Milliseconds;
    readonly holdDuration: Milliseconds;
}

/** Whether a holder may keep its copies. */
export interface HoldDecision {
    readonly held: boolean;
    readonly reason: "log-fresh" | "log-outage-confirmed" | "lapsed";
    /** Monotonic time at which the hold lapses without a further renewal. */
    readonly validUntil: Milliseconds;
}
