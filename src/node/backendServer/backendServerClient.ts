import { err } from "true-myth/result";
import { type BackendServerPort, createError, type GoldcrestpointError, type PortResult } from "../../types/index.js";
import { createHttpClient, createResponseMemoryLimit } from "../httpClient/index.js";
import { readStagedChunk, stageChunk } from "./chunks.js";
import { executeRequest, type KeyedBackendRequest } from "./execute.js";
import { sendOrder } from "./orders.js";
import { readEngineState, readServiceHealth } from "./state.js";
import type { BackendServerClientOptions } from "./types.js";

/** Client of a backend server. */
export interface BackendServerClient extends BackendServerPort, AsyncDisposable {
    /**
     * Runs a request.
     *
     * @param request - the request, with the idempotency key that is sent along
     * @param signal - cancels the request
     * @returns see `BackendServerPort.execute`
     */
    execute(request: KeyedBackendRequest, signal: AbortSignal): ReturnType<BackendServerPort["execute"]>;
}

const defaultMaximumHeldBytes = 128 * 1_048_576;

/**
 * Creates a client of a model engine or a plain service. Reads of state, orders and chunks use separate connections, so
 * that requests that occupy all of theirs do not delay them.
 *
 * @param options - base URL, kind and limits
 * @returns the client
 */
export function createBackendServerClient(options: BackendServerClientOptions): BackendServerClient {
    const { baseUrl, kind = "engine", timeouts, healthPath = "/health" } = options;
    const memoryLimit = createResponseMemoryLimit(options.maximumHeldBytes ?? defaultMaximumHeldBytes);
    const control = createHttpClient({ baseUrl, timeouts, memoryLimit });
    const requests = createHttpClient({
        baseUrl,
        memoryLimit,
        timeouts: { head: 120_000, idle: 30_000, ...options.requestTimeouts },
        connections: options.requestConnections ?? 256,
    });
    const supportsWeights = kind === "engine";
    return {
        readState: () => supportsWeights ? readEngineState(control) : readServiceHealth(control, healthPath),
        order: order =>
            supportsWeights ? sendOrder(control, order) : rejectUnsupported(`order ${order.kind}`, control.peer),
        stageChunk: (digest, index, content) =>
            supportsWeights ?
                stageChunk(control, digest, index, content) :
                rejectUnsupported("stage chunk", control.peer),
        readChunk: (digest, index) =>
            supportsWeights ?
                readStagedChunk(control, digest, index) :
                rejectUnsupported("read staged chunk", control.peer),
        execute: (request, signal) => executeRequest(requests, kind, request, signal),
        [Symbol.asyncDispose]: async () => {
            await Promise.all([control[Symbol.asyncDispose](), requests[Symbol.asyncDispose]()]);
        },
    };
}

function rejectUnsupported<Value>(step: string, peer: string): PortResult<Value> {
    const error = createError("ENGINE_REFUSED", step, peer, "a plain service has no weights");
    return Promise.resolve(err<Value, GoldcrestpointError>(error));
}
