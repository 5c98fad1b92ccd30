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
    /** Orders that have begun since the engine started. */
    readonly orderSequence: number;
    readonly running: number;
    readonly queued: number;
}

/** What becomes of requests in progress when an engine loads: it waits for them, or ends their streams. */
export type RunningRequests = "finish" | "cut-off";

/** How an engine took an order. */
export type OrderOutcome = "begun" | "in-effect" | "refused";

/** Engine whose orders name a model and a version, with room to stage the chunks of one version of each model. */
export interface EngineControlPort {
    /** @returns the engine's report; `ENGINE_UNREACHABLE` if it does not answer */
    readReport(): PortResult<EngineReport>;
    /**
     * Lists the chunks that are staged.
     *
     * @param model - name of the model
     * @returns positions of the chunks, whose content may be of any version and spoilt
     */
    listStaged(model: string): PortResult<readonly number[]>;
    /** Reads a staged chunk; undefined if none is staged at the position. */
    readStaged(model: string, index: number): PortResult<Uint8Array | undefined>;
    /** Stages a chunk in place of the one at its position. */
    stage(model: string, index: number, content: Uint8Array): PortResult<void>;
    /**
     * Orders the engine to load what is staged. It accepts nothing new until it has.
     *
     * @param model - name of the model
     * @param version - its version
     * @param expectedSequence - the order counts only if the engine has begun this many orders
     * @param running - what becomes of requests in progress
     * @returns how the engine took it; `ORDER_AMBIGUOUS` if the answer was lost
     */
    load(
        model: string,
        version: number,
        expectedSequence: number,
        running: RunningRequests,
    ): PortResult<OrderOutcome>;
}

/** Origin of weights that are found by model and version. */
export interface VersionOriginPort {
    /**
     * Reads the manifest of a version. Nothing proves it but the chunks that fit.
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
     * @param index - position of the chunk
     * @param signal - aborts the transfer
     * @returns the chunk's bytes
     */
    readChunk(model: string, version: number, index: number, signal?: AbortSignal): PortResult<Uint8Array>;
}
