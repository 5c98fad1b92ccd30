import type { LoadedWeights } from "./gateway.js";
import type { Manifest } from "./manifest.js";
import type { PortResult } from "./ports.js";

/** What an engine reports about itself. */
export interface EngineReport {
    /** Start of the engine in milliseconds since 1970; undefined if it does not say. */
    readonly startedAt: number | undefined;
    /** Undefined if no weights are loaded. */
    readonly weights: LoadedWeights | undefined;
    /** True while an order is carried out. */
    readonly busy: boolean;
    /** Number of orders that the engine has accepted since it started. */
    readonly orderSequence: number;
    readonly running: number;
    readonly queued: number;
}

/** How an engine that loads weights treats requests in progress: it waits for them, or ends their streams. */
export type RunningRequestsPolicy = "finish" | "cut-off";

/** Response of an engine to an order: it has begun to carry it out, it has already done so, or it refuses. */
export type OrderOutcome = "begun" | "in-effect" | "refused";

/** Order to load the staged chunks, or to give up the weights. */
export interface LoadOrder {
    readonly model: string;
    readonly version: number;
    /** The engine refuses the order unless it has accepted this number of orders. */
    readonly expectedSequence: number;
    /** Treatment of requests in progress. */
    readonly running: RunningRequestsPolicy;
    /** Called right before the order is written to the engine; it is not sent if the result is false. */
    readonly mayWrite: () => boolean;
}

/** Engine whose orders name a model and a version, and which can stage the chunks of one version of each model. */
export interface EngineControlPort {
    /** @returns the engine's report; `ENGINE_UNREACHABLE` if it does not answer */
    readReport(): PortResult<EngineReport>;
    /**
     * Lists the chunks that are staged.
     *
     * @param model - name of the model
     * @returns indexes of the chunks, whose content may be corrupt or belong to any version
     */
    listStaged(model: string): PortResult<readonly number[]>;
    /** Reads a staged chunk; undefined if none is staged at the index. */
    readStaged(model: string, index: number): PortResult<Uint8Array | undefined>;
    /** Stages a chunk; it replaces the one at its index. */
    stage(model: string, index: number, content: Uint8Array): PortResult<void>;
    /**
     * Orders the engine to load the staged chunks. The engine accepts no new requests until it has loaded them.
     *
     * @param order - what to load, and the conditions of the order
     * @returns the engine's response; `ORDER_AMBIGUOUS` if the response was lost
     */
    load(order: LoadOrder): PortResult<OrderOutcome>;
    /**
     * Orders the engine to give up its weights. It holds none afterwards, so that the same version can be loaded again.
     *
     * @param order - version that is loaded, and the conditions of the order
     * @returns the engine's response; `ORDER_AMBIGUOUS` if the response was lost
     */
    unload(order: LoadOrder): PortResult<OrderOutcome>;
}

/** Origin whose weights are identified by model and version. */
export interface VersionOriginPort {
    /**
     * Reads the manifest of a version. It has no digest of its own: only chunks that match it confirm it.
     *
     * @param model - name of the model
     * @param version - its version
     * @param signal - aborts the read
     * @returns the manifest
     */
    readManifest(model: string, version: number, signal?: AbortSignal): PortResult<Manifest>;
    /**
     * Reads a chunk, which may be corrupt.
     *
     * @param model - name of the model
     * @param version - its version
     * @param index - index of the chunk
     * @param signal - aborts the transfer
     * @returns the chunk's bytes
     */
    readChunk(model: string, version: number, index: number, signal?: AbortSignal): PortResult<Uint8Array>;
}
