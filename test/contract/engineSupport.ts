import { type BackendServerClient, createBackendServerClient } from "../../src/node/backendServer/index.js";
import {
    type EngineBehaviour,
    type EngineStandIn,
    generateWeightSet,
    startEngineStandIn,
} from "../../src/standIn/index.js";
import type { EngineOrder, FencingToken, GoldcrestpointError } from "../../src/types/index.js";
import { type Condition, selectTimeouts, shortTimeouts, unwrap } from "./support.js";

/** Weight set of the tests, with three chunks. */
export const weightSet = generateWeightSet({
    model: "scribe",
    adapter: "kin",
    version: "7",
    totalBytes: 2_500,
    chunkBytes: 1_000,
});

/** Identity of the weight set, as orders and responses contain it. */
export const weights = { model: "scribe", adapter: "kin", version: "7", manifestDigest: weightSet.digest };

/**
 * Creates a fencing token.
 *
 * @param sequence - sequence of the order
 * @param epoch - epoch of the assignment
 * @returns the token
 */
export function createToken(sequence: number, epoch = 5): FencingToken {
    return { epoch, agentStart: 1_000, sequence };
}

/**
 * Starts an engine that generates tokens without delay.
 *
 * @param behaviour - settings that differ from the defaults
 * @returns the engine
 */
export function startEngine(behaviour: Partial<EngineBehaviour> = {}): Promise<EngineStandIn> {
    return startEngineStandIn({ behaviour: { tokenMilliseconds: 0, prefillMilliseconds: 0, ...behaviour } });
}

/**
 * Creates a client of an engine or service.
 *
 * @param baseUrl - address
 * @param condition - condition that selects the time limits
 * @param kind - kind of backend server
 * @returns the client
 */
export function createClient(
    baseUrl: string,
    condition: Condition = "healthy",
    kind: "engine" | "service" = "engine",
): BackendServerClient {
    const limited = selectTimeouts(condition) !== undefined;
    return createBackendServerClient({
        baseUrl,
        kind,
        ...(limited ? { timeouts: shortTimeouts, requestTimeouts: shortTimeouts } : {}),
    });
}

/**
 * Prepares, stages and activates the weight set.
 *
 * @param client - client of the engine
 * @param chunks - chunks to stage
 * @returns result of the activation
 */
export async function activate(
    client: BackendServerClient,
    chunks: readonly number[] = [0, 1, 2],
): ReturnType<BackendServerClient["order"]> {
    unwrap(await client.order(createPrepareOrder(createToken(1))));
    for (const index of chunks) {
        unwrap(await client.stageChunk(weightSet.digest, index, weightSet.readChunk(index)!));
    }
    return client.order({ kind: "activate", token: createToken(2), ...weights });
}

/**
 * Creates the order that prepares the engine for the chunks of the weight set.
 *
 * @param token - fencing token
 * @returns the order
 */
export function createPrepareOrder(token: FencingToken): EngineOrder {
    return { kind: "prepare", token, manifestDigest: weightSet.digest, chunksTotal: 3 };
}

/** Body of a response that was read to its end. */
export interface ReadBody {
    readonly text: string;
    /** Set if the body ended before it was complete. */
    readonly failure: GoldcrestpointError | undefined;
}

/**
 * Reads a body to its end.
 *
 * @param body - the body
 * @param onPart - called after each part
 * @returns the text, and the failure with which the body ended
 */
export async function readBody(body: AsyncIterable<Uint8Array>, onPart?: () => void): Promise<ReadBody> {
    let text = "";
    try {
        for await (const part of body) {
            text += Buffer.from(part).toString("utf8");
            onPart?.();
        }
    }
    catch (thrown) {
        const failure = (thrown as Error).cause as GoldcrestpointError;
        return { text, failure };
    }
    return { text, failure: undefined };
}
