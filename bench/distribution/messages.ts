import type { TransferServiceOptions } from "../../src/node/agent/transfer/index.js";
import type { Objective, WeightSet } from "../../src/types/index.js";

/** How an agent obtains the weights. */
export type Method = "swarm" | "origin-only" | "binary-tree";

/** Agent that takes part in a run. */
export interface BenchAgent {
    readonly instance: string;
    readonly zone: string;
    /** `host:port` of its gRPC server; empty until it listens. */
    readonly address: string;
    /** Port of its live HTTP server; 0 until it listens. */
    readonly livePort: number;
}

/** Sizes and speeds of a run. */
export interface RunScale {
    readonly totalBytes: number;
    readonly chunkBytes: number;
    /** Speed of an agent's link in each direction. */
    readonly linkBytesPerSecond: number;
    readonly originBytesPerSecond: number;
}

/** Faults of a run. */
export interface RunFaults {
    /** Probability that a chunk arrives corrupt. */
    readonly corruptShare: number;
    /** Instances that are killed. */
    readonly killed: readonly string[];
    /** Instance whose outgoing link stalls; undefined for none. */
    readonly stalled: string | undefined;
    /** Milliseconds from the start until the link stalls and instances are killed. */
    readonly after: number;
}

/** Milliseconds of each live request during the transfer: waits for the link, and time from arrival to response. */
export interface LiveWaits {
    readonly incoming: number[];
    readonly outgoing: number[];
    readonly serverTime: number[];
}

/** Message to a child process. */
export type ToChild =
    | {
        readonly kind: "start-agents";
        readonly agents: readonly BenchAgent[];
        readonly scale: RunScale;
        readonly faults: RunFaults;
        readonly method: Method;
        readonly options: TransferServiceOptions;
        readonly originPort: number;
        readonly weights: WeightSet;
        readonly seed: number;
    }
    | { readonly kind: "start-origin"; readonly scale: RunScale; readonly corruptShare: number; readonly seed: number; }
    | { readonly kind: "start-client"; readonly ports: readonly number[]; readonly seed: number; }
    | { readonly kind: "begin"; readonly agents: readonly BenchAgent[]; readonly objective: Objective; }
    | { readonly kind: "mark-burst"; }
    | { readonly kind: "finish"; };

/** Bytes of weights that an agent received and sent. */
export interface AgentTotals {
    readonly instance: string;
    readonly receivedBytes: number;
    readonly sentBytes: number;
}

/** Message from a child process. */
export type FromChild =
    | { readonly kind: "agents-listening"; readonly agents: readonly BenchAgent[]; }
    | { readonly kind: "origin-listening"; readonly port: number; readonly weights: WeightSet; }
    | { readonly kind: "client-started"; }
    | { readonly kind: "complete"; readonly instance: string; readonly at: number; }
    | {
        readonly kind: "agent-totals";
        readonly totals: readonly AgentTotals[];
        readonly eventCounts: EventCounts;
        readonly liveWaits: LiveWaits;
        /** 95th percentile of the event loop delay of the process, in milliseconds. */
        readonly eventLoopDelay: number;
        /** Processor time of the process since its start. */
        readonly processorSeconds: number;
    }
    | { readonly kind: "origin-totals"; readonly sentBytes: number; }
    | { readonly kind: "latencies"; readonly quiet: readonly number[]; readonly burst: readonly number[]; };

/** Number of log lines by message; in the results also the figures of `summarizeWaits`. */
export type EventCounts = Readonly<Record<string, number>>;
