import { setTimeout as delay } from "node:timers/promises";
import {
    createTransferService,
    createUnlimitedBudget,
    type TransferMember,
    type TransferService,
    type TransferServiceOptions,
} from "../../../../src/node/agent/transfer/index.js";
import type { PeerCalls } from "../../../../src/node/agent/transfer/peerCalls.js";
import { agentServiceDefinition, type RpcServer, startRpcServer } from "../../../../src/node/grpc/index.js";
import { computeManifestDigest, createManifest } from "../../../../src/runtime/distribution/index.js";
import { findFreePorts } from "../../../../src/standIn/index.js";
import type { Manifest, OriginPort, WeightSet } from "../../../../src/types/index.js";
import { createManualClock, createSeededRandom } from "../../../../src/utils/index.js";
import { createMemoryEngine, type MemoryEngine } from "../../../support/memoryPorts.js";

/** Weight set with its content. */
export interface SampleSet {
    readonly weights: WeightSet;
    readonly manifest: Manifest;
    readonly chunks: readonly Uint8Array[];
}

/** Creates a set of `count` chunks whose content depends on the version and the position. */
export function createSampleSet(version: string, count = 12, chunkBytes = 1_000): SampleSet {
    const chunks = Array.from(
        { length: count },
        (...[, index]) => new Uint8Array(Buffer.alloc(chunkBytes, `${version}/${index}/`)),
    );
    const manifest = createManifest({ model: "scribe", adapter: "", version }, chunks);
    const manifestDigest = computeManifestDigest(manifest);
    return { weights: { model: "scribe", adapter: "", version, manifestDigest }, manifest, chunks };
}

/** gRPC handlers of an agent. */
export type Handlers = Pick<TransferService, "exchangeAvailability" | "fetchChunk">;

/** Agent of a swarm in this process. */
export interface SwarmAgent {
    readonly member: TransferMember;
    readonly service: TransferService;
    readonly engine: MemoryEngine;
    readonly server: RpcServer;
    readonly events: { readonly message: string; readonly fields: Readonly<Record<string, unknown>>; }[];
}

/** Options of `startAgent`. */
export interface AgentOptions {
    readonly origin: OriginPort;
    readonly engine?: MemoryEngine;
    readonly options?: TransferServiceOptions;
    /** Calls to other agents. Default: over gRPC. */
    readonly calls?: PeerCalls;
    /** Replaces handlers to simulate faults. */
    readonly replaceHandlers?: (handlers: Handlers) => Handlers;
}

/**
 * Creates agents that share a manual clock, which `run` advances.
 *
 * @param settle - waits after each step of the clock until what is on its way has arrived. Default: 1 ms
 */
export function createSwarm(settle: () => Promise<void> = () => delay(1)) {
    const clock = createManualClock();
    const agents: SwarmAgent[] = [];

    async function startAgent(instance: string, input: AgentOptions): Promise<SwarmAgent> {
        const engine = input.engine ?? createMemoryEngine();
        const events: SwarmAgent["events"] = [];
        const service = createTransferService({
            self: instance,
            zone: "sando-hall",
            backend: engine,
            origin: input.origin,
            linkBudget: createUnlimitedBudget(),
            clock,
            random: createSeededRandom(agents.length + 1),
            options: { selfScheduled: false, partBytes: 400, exchangeInterval: 20, ...input.options },
            calls: input.calls,
            log: { info: (fields, message) => events.push({ fields, message }) },
        });
        const handlers = input.replaceHandlers?.(service) ?? service;
        const [port] = await findFreePorts(1);
        const started = await startRpcServer(`127.0.0.1:${port}`, [{
            definition: agentServiceDefinition,
            implementation: {
                exchangeAvailability: handlers.exchangeAvailability,
                fetchChunk: handlers.fetchChunk,
                // An agent whose exchanges a test replaces serves no streams of them, like an older agent.
                ...(handlers.exchangeAvailability === service.exchangeAvailability ?
                    { streamAvailability: service.streamAvailability } :
                    {}),
            },
        }]);
        if (started.isErr) {
            throw new Error(started.error.message);
        }
        const server = started.value;
        const member = { instance, zone: "sando-hall", address: `127.0.0.1:${server.port}` };
        const agent = { member, service, engine, server, events };
        agents.push(agent);
        return agent;
    }

    /** Ticks all agents until the condition holds; returns false if it does not hold within the given rounds. */
    async function run(condition: () => boolean, rounds = 4_000): Promise<boolean> {
        for (let round = 0; round < rounds && !condition(); round++) {
            for (const { service } of agents) {
                service.tick();
            }
            clock.advance(10);
            await settle();
        }
        return condition();
    }

    async function stopAgent(agent: SwarmAgent): Promise<void> {
        agents.splice(agents.indexOf(agent), 1);
        await agent.service[Symbol.asyncDispose]();
        await agent.server[Symbol.asyncDispose]();
    }

    return {
        clock,
        startAgent,
        run,
        stopAgent,
        [Symbol.asyncDispose]: async () => {
            await Promise.all([...agents].map(stopAgent));
        },
    };
}

/** Gives an engine the order `prepare` for a set. */
export async function prepare(engine: MemoryEngine, set: SampleSet): Promise<void> {
    await engine.order({
        kind: "prepare",
        token: { epoch: 1, agentStart: 1, sequence: 1 },
        manifestDigest: set.weights.manifestDigest,
        chunksTotal: set.chunks.length,
    });
}
