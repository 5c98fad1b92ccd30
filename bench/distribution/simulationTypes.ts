import type {
    createOriginReaders,
    DistributionOptions,
    PeerRow,
    TransferRow,
    TransferWindow,
} from "../../src/runtime/distribution/index.js";
import type { TargetOptions } from "../../src/runtime/rollout/index.js";
import type { Objective } from "../../src/types/index.js";
import type { Table } from "../../src/utils/index.js";
import type { RunFaults, RunScale } from "./messages.js";

/** Parameters of a simulated swarm. Times are in milliseconds. */
export interface SimulationPlan {
    readonly agents: number;
    readonly objective: Objective;
    readonly scale: RunScale;
    /** Rate of the link between two zones; infinite if it limits nothing. */
    readonly zoneBytesPerSecond: number;
    readonly faults: RunFaults;
    readonly options: DistributionOptions;
    readonly exchangeInterval: number;
    readonly tickInterval: number;
    readonly retryChokedAfter: number;
    readonly retryFailedAfter: number;
    readonly seed: number;
    /** Share of the agents that lose everything at `replacedAfter` milliseconds. */
    readonly replacedShare: number;
    readonly replacedAfter: number;
    /** Time during which the origin refuses connections; undefined for none. */
    readonly outage: { readonly from: number; readonly until: number; } | undefined;
    /** Times at which versions are named, oldest first. */
    readonly namedAt: readonly number[];
    /** Time from which on an agent has the manifest of a version, after it was named. */
    readonly manifestAfter: number;
    readonly target: TargetOptions;
}

/** Results of a simulated swarm. */
export interface SimulationResult {
    /**
     * Time from the start until every agent has the newest version; undefined if one did not complete it within ten
     * times the time that its link takes for one copy.
     */
    readonly seconds: number | undefined;
    readonly completed: number;
    readonly originCopies: number;
    readonly linkCopiesMean: number;
    readonly linkCopiesMaximum: number;
    /** For each version, the number of agents that completed it, and the time at which the last of them did. */
    readonly versions: readonly { readonly completed: number; readonly lastAt: number; }[];
}

/** Transfer in progress. */
export interface Transfer extends TransferRow {
    readonly version: number;
    readonly receiver: Agent;
    readonly sender: Agent | undefined;
    remaining: number;
}

/** State of an agent for one version. */
export interface AgentSet {
    readonly version: number;
    readonly startedAt: number;
    readonly held: Uint8Array;
    readonly peers: Table<string, PeerRow>;
    readonly transfers: Table<number, TransferRow>;
    readonly running: Map<number, Transfer>;
    readonly neighbours: readonly string[];
    readonly originReaders: ReturnType<typeof createOriginReaders>;
    readonly zoneReaders: ReturnType<typeof createOriginReaders>;
    readonly nextExchangeAt: Map<string, number>;
    readonly availableSince: Map<number, number>;
    originFailures: number;
    originAvoidedUntil: number;
    originRefusedAt: number | undefined;
    uploads: number;
    sentBytes: number;
    complete: boolean;
}

/** Agent of a simulated swarm. */
export interface Agent {
    readonly instance: string;
    readonly zone: string;
    /** Identities of the two directions of its link. */
    readonly incoming: object;
    readonly outgoing: object;
    /** Sets by version: the target, and complete ones. */
    readonly sets: Map<number, AgentSet>;
    target: AgentSet | undefined;
    /** Newest version that is loaded or complete; 0 for none. */
    newestComplete: number;
    readonly completedAt: Map<number, number>;
    readonly window: TransferWindow;
    /** Time for which an answer waits on the incoming link behind the bytes of transfers. */
    queueDelay: number;
    nextTickAt: number;
    sentBytes: number;
    receivedBytes: number;
    dead: boolean;
    needsDecision: boolean;
}
