import type {
    AgentObservation,
    Clock,
    DeploymentName,
    InstanceId,
    InstanceRow,
    LogRecord,
    Milliseconds,
    Offset,
    PlacementRecord,
    RandomSource,
} from "../../types/index.js";
import type { Table } from "../../utils/index.js";
import type { WitnessConfirmation } from "../hold/types.js";
import type { FoldState } from "../state/types.js";

/** Options of the proposer. */
export interface PlacementOptions {
    /** Time without a message after which an instance counts as unreachable. Default: 10,000 ms. */
    readonly unreachableAfter: Milliseconds;
    /** Time for which a hold lasts without renewal. Default: 20,000 ms. */
    readonly holdDuration: Milliseconds;
    /** Time added to the hold duration before a replacement, since clocks run at different rates. Default: 5,000 ms. */
    readonly holdMargin: Milliseconds;
    /** Time by which each rank of proposers waits longer than the one before. Default: 2,000 ms. */
    readonly rankDelay: Milliseconds;
    /**
     * Share of the copies in an availability zone that may be under replacement at once; at least one copy.
     * Default: 0.1.
     */
    readonly replacementShare: number;
    /** Successive reads of the instance list without an instance after which it counts as gone. Default: 3. */
    readonly absentReadsUntilGone: number;
    /** Maximum number of witnesses of a copy. Default: 5. */
    readonly maximumWitnesses: number;
    /** Time for which the log keeps records. Default: 86,400,000 ms (one day). */
    readonly retention: Milliseconds;
}

/** What an entry instance knows of another entry instance. */
export interface WitnessObservation {
    readonly instance: InstanceId;
    /** Time of its newest message, on the monotonic clock of the receiving process. */
    readonly heardAt: Milliseconds;
    readonly appliedOffset: Offset;
    /** Time since the witness started, at `heardAt`. */
    readonly uptime: Milliseconds;
}

/** Kind of a change within a placement proposal; `owners-change` concerns all owners, so its instance is empty. */
export type PlacementChangeKind = "assign" | "revoke" | "release" | "update" | "witness-change" | "owners-change";

/** Change of one copy with its reason, for the decision log. */
export interface PlacementChange {
    readonly kind: PlacementChangeKind;
    readonly instance: InstanceId;
    readonly reason: string;
}

/** Command of the proposer: a record to append to the log. */
export type ProposerCommand =
    | {
        readonly kind: "append-placement";
        readonly deployment: DeploymentName;
        readonly record: PlacementRecord;
        readonly changes: readonly PlacementChange[];
        /** Number of instances that could have taken a new copy. */
        readonly candidates: number;
    }
    | { readonly kind: "append-refresh"; readonly deployment: DeploymentName; readonly record: LogRecord; };

/**
 * Progress of a proposal for a chain. A chain consists of the records of one kind for one deployment, each of which is
 * based on the one before.
 */
export interface ProposalProgress {
    /** Offset of the record on which the proposal is based. */
    readonly base: Offset;
    /** Monotonic time at which the change was first wanted on this base. */
    readonly since: Milliseconds;
    /** Monotonic time of the last command; undefined before the first. */
    readonly proposedAt: Milliseconds | undefined;
}

/** What a proposer remembers between ticks; created by `createProposerMemory`. */
export interface ProposerMemory {
    /** Confirmations of revocations by the witnesses, by copy key. */
    readonly confirmations: Map<string, WitnessConfirmation>;
    /** Progress of the proposals that are wanted, by chain key. */
    readonly wanted: Map<string, ProposalProgress>;
    /** Monotonic times at which placements were last planned, by chain key. */
    readonly plannedAt: Map<string, Milliseconds>;
    /** For instances that have never sent a message, the monotonic time since when the proposer has waited for one. */
    readonly awaitedSince: Map<InstanceId, Milliseconds>;
    /** Monotonic time since when the proposer has run without a pause; undefined before the first tick. */
    observingSince: Milliseconds | undefined;
    /** Monotonic time of the last tick. */
    lastTickAt: Milliseconds | undefined;
}

/** Input of `runProposer`. */
export interface ProposerInput {
    readonly self: InstanceId;
    readonly state: FoldState;
    /** Backend server and entry instances; indexed by `pool` and `role`. */
    readonly instances: Table<InstanceId, InstanceRow>;
    readonly observations: Table<InstanceId, AgentObservation>;
    readonly witnesses: Table<InstanceId, WitnessObservation>;
    readonly memory: ProposerMemory;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly options: PlacementOptions;
}
