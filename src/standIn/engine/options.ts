import type { Milliseconds } from "../../types/index.js";
import type { StandInServerOptions } from "../http/index.js";

/** Behaviour of the engine stand-in. */
export interface EngineBehaviour {
    /** Requests that run at the same time in a batch. Default: 8. */
    readonly capacity: number;
    /** Requests that may wait; further ones are refused. Default: 64. */
    readonly queueLimit: number;
    /** Time per token of a request that runs alone. Default: 2 ms. */
    readonly tokenMilliseconds: Milliseconds;
    /** Share by which each further request in the batch lengthens the time per token. Default: 0.05. */
    readonly batchSlowdown: number;
    /** Time before the first token, per 1,000 characters of the prompt outside of a cached prefix. Default: 4 ms. */
    readonly prefillMilliseconds: Milliseconds;
    /** Prefixes that the cache holds; the least recently used one is evicted. Default: 64. */
    readonly cachedPrefixes: number;
    /** Length of the prefix of a prompt in characters. Default: 64. */
    readonly prefixCharacters: number;
    /** Whether to refuse orders with an older fencing token, or to ignore fencing tokens. Default: `refuse`. */
    readonly oldTokens: "refuse" | "ignore";
    /** Whether the activation of a set with missing chunks is refused. Default: false. */
    readonly refusesIncompleteSets: boolean;
    /** Whether a request that asks for other weights than the active ones is refused. Default: true. */
    readonly checksRequestedWeights: boolean;
    /** Duration of an activation. Default: 0 ms. */
    readonly activationMilliseconds: Milliseconds;
    /** Text in a prompt that makes the engine crash. Default: `crash-backend-server`. */
    readonly crashMarker: string;
    /** Time from a crash until the engine listens again. Default: 200 ms. */
    readonly restartMilliseconds: Milliseconds;
    /** Age of the counts of running and queued requests in the reported state. Default: 0 ms. */
    readonly loadLagMilliseconds: Milliseconds;
    /** Memory for staged chunks; chunks that exceed it are refused. Default: 1,073,741,824 bytes (1 GiB). */
    readonly memoryBytes: number;
}

/** Options of {@link startEngineStandIn}. */
export interface EngineStandInOptions extends StandInServerOptions {
    /** Settings that differ from their defaults. */
    readonly behaviour?: Partial<EngineBehaviour> | undefined;
}

/**
 * Fills in the defaults of the settings that are not given.
 *
 * @param partial - settings that differ from the defaults
 * @returns all settings
 */
export function resolveEngineBehaviour(partial: Partial<EngineBehaviour> = {}): EngineBehaviour {
    return {
        capacity: 8,
        queueLimit: 64,
        tokenMilliseconds: 2,
        batchSlowdown: 0.05,
        prefillMilliseconds: 4,
        cachedPrefixes: 64,
        prefixCharacters: 64,
        oldTokens: "refuse",
        refusesIncompleteSets: false,
        checksRequestedWeights: true,
        activationMilliseconds: 0,
        crashMarker: "crash-backend-server",
        restartMilliseconds: 200,
        loadLagMilliseconds: 0,
        memoryBytes: 1_073_741_824,
        ...partial,
    };
}
