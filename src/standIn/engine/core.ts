import { randomUUID } from "node:crypto";
import type { Clock, EngineState } from "../../types/index.js";
import { type Batch, createBatch, createJournal, type Journal } from "../execution/index.js";
import type { EngineBehaviour } from "./options.js";
import type { OrderTarget } from "./orders.js";
import { createPrefixCache, type PrefixCache } from "./prefixCache.js";
import { createStagedSets } from "./stagedSets.js";

/** Request that its connection, `cancel` or a crash can abort. */
export interface TrackedRequest {
    readonly signal: AbortSignal;
    /** Unregisters the request. */
    release(): void;
}

/** State of the engine stand-in. */
export interface EngineCore {
    readonly behaviour: EngineBehaviour;
    readonly target: OrderTarget;
    readonly batch: Batch;
    readonly prefixCache: PrefixCache;
    readonly journal: Journal;
    readonly incarnation: string;
    /**
     * Registers a request, so that `cancel` can abort it.
     *
     * @param requestId - identifier of the request
     * @param connection - aborted when the connection closes
     * @returns the registered request, with its signal
     */
    trackRequest(requestId: string, connection: AbortSignal): TrackedRequest;
    /**
     * Aborts all requests with an identifier.
     *
     * @param requestId - identifier of the request
     * @returns whether there was one that was waiting or running
     */
    cancel(requestId: string): boolean;
    /** Simulates a crash: discards all weight sets, closes all connections, and restarts after the restart delay. */
    crash(): Promise<void>;
    /** @returns the state that the engine reports */
    readState(): EngineState;
}

/**
 * Creates the state of an engine without weights.
 *
 * @param clock - source of time
 * @param behaviour - settings
 * @param restart - closes all connections, and listens again after the restart delay
 * @returns the state
 */
export function createEngineCore(clock: Clock, behaviour: EngineBehaviour, restart: () => Promise<void>): EngineCore {
    const target: OrderTarget = {
        sets: createStagedSets(behaviour.memoryBytes),
        active: undefined,
        highestToken: undefined,
    };
    const batch = createBatch(clock, behaviour.capacity, behaviour.queueLimit);
    const prefixCache = createPrefixCache(behaviour.cachedPrefixes);
    const journal = createJournal();
    const tracked = new Map<string, Set<AbortController>>();
    let incarnation = randomUUID();

    function trackRequest(requestId: string, connection: AbortSignal): TrackedRequest {
        const controller = new AbortController();
        const abort = (): void => controller.abort();
        if (connection.aborted) {
            abort();
        }
        connection.addEventListener("abort", abort);
        const controllers = tracked.get(requestId) ?? new Set();
        tracked.set(requestId, controllers.add(controller));
        return {
            signal: controller.signal,
            release: () => {
                connection.removeEventListener("abort", abort);
                controllers.delete(controller);
                if (controllers.size === 0) {
                    tracked.delete(requestId);
                }
            },
        };
    }

    return {
        behaviour,
        target,
        batch,
        prefixCache,
        journal,
        get incarnation() {
            return incarnation;
        },
        trackRequest,
        cancel: requestId => {
            const controllers = [...tracked.get(requestId) ?? []];
            controllers.forEach(controller => controller.abort());
            return controllers.length > 0;
        },
        crash: () => {
            journal.crash();
            target.sets.clear();
            target.active = undefined;
            target.highestToken = undefined;
            prefixCache.clear();
            incarnation = randomUUID();
            [...tracked.values()].flatMap(controllers => [...controllers]).forEach(controller => controller.abort());
            return restart();
        },
        readState: () => {
            const { running, queued } = batch.readLoad(behaviour.loadLagMilliseconds);
            return {
                incarnation,
                active: describeActive(target),
                staged: target.sets.report(),
                running,
                queued,
                capacity: behaviour.capacity,
                cachedPrefixes: prefixCache.list(),
                highestToken: target.highestToken,
            };
        },
    };
}

function describeActive({ active }: OrderTarget): EngineState["active"] {
    if (active === undefined) {
        return undefined;
    }
    const { model, adapter, version, manifestDigest } = active;
    return { model, adapter, version, manifestDigest };
}
