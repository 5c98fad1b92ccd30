import type {
    createOriginReaders,
    DistributionOptions,
    PeerRow,
    TransferRow,
} from "../../src/runtime/distribution/index.js";
import type { Objective } from "../../src/types/index.js";
import type { Table } from "../../src/utils/index.js";
import type { RunFaults, RunScale } from "./messages.js";

/** Parameters of a simulated swarm. */
export interface SimulationPlan {
    readonly agents: number;
    readonly objective: Objective;
    readonly scale: RunScale;
    readonly faults: RunFaults;
    readonly options: DistributionOptions;
    readonly exchangeInterval: number;
    readonly retryChokedAfter: number;
    readonly seed: number;
    /** Share of the agents that lose everything at `replacedAfter` milliseconds. */
    readonly replacedShare: number;
    readonly replacedAfter: number;
}

/** Results of a simulated swarm. */
export interface SimulationResult {
    /** Undefined if an agent did not complete the set within ten times the time that its link takes for one copy. */
    readonly seconds: number | undefined;
    readonly completed: number;
    readonly originCopies: number;
    readonly linkCopiesMean: number;
    readonly linkCopiesMaximum: number;
}

/** Transfer in progress. */
export interface Transfer extends TransferRow {
    readonly receiver: Agent;
    readonly sender: Agent | undefined;
    remaining: number;
}

/** Agent of a simulated swarm. */
export interface Agent {
    readonly instance: string;
    readonly held: Uint8Array;
    readonly peers: Table<string, PeerRow>;
    readonly transfers: Table<number, TransferRow>;
    readonly running: Map<number, Transfer>;
    readonly neighbours: readonly string[];
    readonly readerRanks: ReturnType<typeof createOriginReaders>;
    readonly nextExchangeAt: Map<string, number>;
    readonly availableSince: Map<number, number>;
    uploads: number;
    sentBytes: number;
    receivedBytes: number;
    complete: boolean;
    dead: boolean;
    needsDecision: boolean;
}
