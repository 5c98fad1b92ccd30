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
    /** Time after which an agent that was not heard counts as unreachable. Default: 10,000 ms. */
    readonly unreachableAfter: Milliseconds;
    /** Time for which a hold lasts without renewal. Default: 20,000 ms. */
    readonly holdDuration: Milliseconds;
    /** Time added to the hold before a replacement, for clocks that run at different rates. Default: 5,000 ms. */
    readonly holdMargin: Milliseconds;
    /** Time by which each rank of proposers waits longer than the one before. Default: 2,000 ms. */
    readonly rankDelay: Milliseconds;
    /** Share of the copies in an availability zone that may be under replacement at once; at least one copy. Default: 0.1. */
    readonly replacementShare: number;
    /** Successive list reads without an instance after which it counts as gone. Default: 3. */
    readonly absentReadsUntilGone: number;
    /** Most witnesses of a copy. Default: 5. */
    readonly maximumWitnesses: number;
    /** Time for which the log keeps records. Default: 86,400,000 ms (one day). */
    readonly retention: Milliseconds;
}

/** What an entry instance knows of another entry instance. */
export interface WitnessObservation {
    readonly instance: InstanceId;
    /** Monotonic time of the receiving process. */
    readonly heardAt: Milliseconds;
    readonly appliedOffset: Offset;
    /** Time since the witness started, at `heardAt`. */
    readonly uptime: Milliseconds;
}

/**
 * Change of one copy within a placement proposal; for `owners-change` the instance is empty, since the change concerns
 * all owners.
 */
export type PlacementMoveKind = "assign" | "revoke" | "release" | "update" | "witness-change" | "owners-change";

/** Change of one copy with its reason, for the decision log. */
export interface PlacementMove {
    readonly kind: PlacementMoveKind;
    readonly instance: InstanceId;
    readonly reason: string;
}

/** Command of the proposer system. */
export type ProposerCommand =
    | {
        readonly kind: "append-placement";
        readonly deployment: DeploymentName;
        readonly record: PlacementRecord;
        readonly moves: readonly PlacementMove[];
        /** Instances that were considered for new copies. */
        readonly candidates: number;
    }
    | { readonly kind: "append-refresh"; readonly deployment: DeploymentName; readonly record: LogRecord; };

/** Since when a proposer has wanted to append to a chain, and when it last did. */
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
    /** For each copy under revocation, the confirmation by its witnesses. */
    readonly confirmations: Map<string, WitnessConfirmation>;
    /** For each chain, the change that is wanted on the current base. */
    readonly wanted: Map<string, ProposalProgress>;
    /** For each placement chain, monotonic time at which its placement was last planned. */
    readonly plannedAt: Map<string, Milliseconds>;
    /** Instances that were never heard, with the monotonic time since when they were looked for. */
    readonly unheardSince: Map<InstanceId, Milliseconds>;
    /** Monotonic time since when the proposer has observed without a pause; undefined before the first tick. */
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
