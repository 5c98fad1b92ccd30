import { expect } from "earl";
import { describe, it } from "node:test";
import { err } from "true-myth/result";
import type { AgentContext } from "../../../src/node/agent/context.js";
import { createCopySystem } from "../../../src/node/agent/copySystem.js";
import { createHoldKeeper } from "../../../src/node/agent/holdKeeper.js";
import type { TransferService } from "../../../src/node/agent/transfer/index.js";
import { createStateStore } from "../../../src/node/relay/index.js";
import { createInstanceTable } from "../../../src/runtime/placement/index.js";
import {
    type CopyAssignment,
    createError,
    type EngineOrder,
    type PlacementRecord,
    type WeightSet,
} from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createMemoryEngine } from "../../support/memoryPorts.js";
import { createCopy, createPlacement, silentLogger } from "../daemonSupport.js";

function createWeights(model: string, version: string): WeightSet {
    return { model, adapter: "", version, manifestDigest: `${model} ${version}` };
}

const scribe = createWeights("scribe", "v1");
const token = { epoch: 0, agentStart: 0, sequence: 0 };

/** Copy system over the real orders and hold, whose transfer is complete when `complete` says so. */
function createSystem() {
    const clock = createManualClock();
    const engine = createMemoryEngine();
    const store = createStateStore();
    const progress = { manifestDigest: scribe.manifestDigest, chunksComplete: 0, chunksTotal: 1, complete: false };
    const lost: EngineOrder["kind"][] = [];
    const backend = {
        ...engine,
        order: async (order: EngineOrder) => {
            const result = await engine.order(order);
            const isLost = lost.includes(order.kind);
            return isLost ?
                err(createError("ORDER_AMBIGUOUS", "order", "engine", "lost", { mayHaveTakenEffect: true })) :
                result;
        },
    };
    const context = {
        self: "agent-1",
        clock,
        store,
        backend,
        logger: silentLogger,
        startedAt: 0,
        instances: createInstanceTable(),
        decisions: { record: () => undefined },
        settings: { backendServer: { kind: "model", orderTimeLimit, stateInterval: 0 } },
    };
    const system = createCopySystem({
        context: context as unknown as AgentContext,
        hold: createHoldKeeper(store, clock, 0, 20_000),
        transfer: { setTarget: () => undefined, progress: () => progress } as unknown as TransferService,
        readRunning: () => 0,
        onServingChange: () => undefined,
    });
    let offset = 0;
    clock.advance(6_000);
    store.noteLogKnown(6_000);
    return {
        clock,
        engine,
        lost,
        progress,
        store,
        system,
        place: (changes: Partial<PlacementRecord>) => {
            offset += 1;
            store.applyEntries([{ offset, previousOffset: offset - 1, record: createPlacement(offset, changes) }]);
            system.refreshAssignment();
        },
        tick: async (count: number) => {
            for (let round = 0; round < count; round++) {
                await system.tick();
            }
        },
        stage: () => engine.stageChunk(scribe.manifestDigest, 0, new Uint8Array([1])),
        readPhases: () => system.readStatuses().map(({ deployment, phase }) => `${deployment} ${phase}`),
    };
}

function createScribeCopy(changes: Partial<CopyAssignment> = {}): CopyAssignment {
    return createCopy("agent-1", { weights: scribe, ...changes });
}

async function createServing() {
    const agent = createSystem();
    agent.place({ copies: [createScribeCopy()] });
    await agent.tick(2);
    await agent.stage();
    agent.progress.complete = true;
    await agent.tick(2);
    return agent;
}

const orderTimeLimit = 5_000;

describe("copy on an instance", () => {
    for (const lost of [[], ["prepare", "activate"]] as const) {
        // Guards against an order that is repeated or given up because its answer was lost.
        it(`loads and serves once with ${lost.length} lost answers`, async () => {
            const agent = createSystem();
            agent.lost.push(...lost);
            agent.place({ copies: [createScribeCopy()] });
            await agent.tick(3);
            await agent.stage();
            agent.progress.complete = true;
            if (lost.length > 0) {
                // The order whose answer was lost may still be on its way, so no other one may follow it yet.
                expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare"]);
                await agent.tick(3);
                expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare"]);
                agent.clock.advance(orderTimeLimit);
            }
            await agent.tick(3);
            agent.clock.advance(lost.length > 0 ? orderTimeLimit : 0);
            await agent.tick(3);
            expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare", "activate"]);
            expect([agent.system.readServing().serving, agent.readPhases()]).toEqual([true, ["scribe serving"]]);
        });
    }

    // Guards against chunks that are dropped although the new agent process could go on with them.
    it("keeps chunks that were staged before the agent started again", async () => {
        const agent = createSystem();
        await agent.engine.order({ kind: "prepare", token, manifestDigest: scribe.manifestDigest, chunksTotal: 1 });
        await agent.stage();
        agent.place({ copies: [createScribeCopy()] });
        await agent.tick(2);
        agent.progress.complete = true;
        await agent.tick(2);
        expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare", "activate"]);
    });

    // Guards against a revocation that is never confirmed, since there was nothing to unload.
    it("reports a revoked copy that was never loaded as released", async () => {
        const agent = createSystem();
        agent.place({ copies: [createScribeCopy()] });
        agent.place({ base: 1, copies: [createScribeCopy({ epoch: 1, state: "revoked" })] });
        await agent.tick(1);
        expect([agent.readPhases(), agent.engine.orders]).toEqual([["scribe released"], []]);
    });

    // Guards against two copies on one instance.
    it("takes the copy with the smaller epoch of two deployments", async () => {
        const agent = await createServing();
        agent.place({ deployment: "archive", copies: [createScribeCopy({ weights: createWeights("archive", "v1") })] });
        await agent.tick(2);
        expect(agent.readPhases()).toEqual(["scribe serving", "archive released"]);
        expect(agent.system.readServing().deployment).toEqual("scribe");
    });

    // Guards against a holder that serves without a renewal of its hold, and that keeps its copy.
    it("stops serving and unloads when the hold lapses", async () => {
        const agent = await createServing();
        agent.clock.advance(20_000);
        await agent.tick(2);
        expect([agent.system.readServing().serving, agent.readPhases()]).toEqual([false, ["scribe lapsed"]]);
        expect([agent.engine.staged.size, agent.engine.orders.slice(2).map(({ kind }) => kind)])
            .toEqual([0, ["deactivate", "drop"]]);
    });

    const changes: readonly [name: string, deployment: string, weights: WeightSet, serving: boolean][] = [
        ["the old version of its deployment", "scribe", createWeights("scribe", "v2"), true],
        ["the old model of its deployment", "scribe", createWeights("archive", "v1"), true],
        ["the weights of another deployment", "archive", createWeights("archive", "v1"), false],
    ];
    for (const [name, deployment, weights, serving] of changes) {
        // Guards against answers from the weights of a deployment that the instance no longer belongs to, as after a
        // pause in which its copy was replaced.
        it(`${serving ? "serves" : "does not serve"} ${name} until the new set is complete`, async () => {
            const agent = await createServing();
            agent.progress.complete = false;
            agent.place({ base: 1, copies: deployment === "scribe" ? [createScribeCopy({ epoch: 1, weights })] : [] });
            if (deployment !== "scribe") {
                agent.place({ deployment, copies: [createScribeCopy({ weights })] });
            }
            await agent.tick(1);
            expect(agent.system.readServing().deployment).toEqual(deployment);
            expect(agent.system.readServing().serving).toEqual(serving);
            expect(agent.system.readServedStatuses().length).toEqual(serving ? 1 : 0);
        });
    }
});
