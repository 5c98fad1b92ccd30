import { expect } from "earl";
import { describe, it } from "node:test";
import { err } from "true-myth/result";
import type { AgentContext } from "../../../src/node/agent/context.js";
import { createCopyController } from "../../../src/node/agent/copyController.js";
import { createHoldEvaluator } from "../../../src/node/agent/holdEvaluator.js";
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

/** Creates a copy controller with the real orders and hold; `progress` sets the progress of its transfer. */
function createAgent() {
    const clock = createManualClock();
    const engine = createMemoryEngine();
    const store = createStateStore();
    const progress = { manifestDigest: scribe.manifestDigest, chunksComplete: 0, chunksTotal: 1, complete: false };
    const lost: EngineOrder["kind"][] = [];
    /** Kinds of orders that have not reached the engine when their answer is given up. */
    const late: EngineOrder["kind"][] = [];
    const inTransit: EngineOrder[] = [];
    let onNextState = (): void => {};
    const backend = {
        ...engine,
        readState: () => {
            onNextState();
            onNextState = () => {};
            return engine.readState();
        },
        order: async (order: EngineOrder) => {
            const isLate = late.includes(order.kind);
            const result = isLate ? undefined : await engine.order(order);
            if (isLate) {
                inTransit.push(order);
            }
            return result === undefined || lost.includes(order.kind) ?
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
    const controller = createCopyController({
        context: context as unknown as AgentContext,
        hold: createHoldEvaluator(store, clock, 0, 20_000),
        transfer: { setTarget: () => undefined, progress: () => progress } as unknown as TransferService,
        readRunning: () => 0,
        onServingChange: () => undefined,
    });
    let offset = 0;
    clock.advance(6_000);
    store.recordLogKnown(6_000);
    return {
        clock,
        engine,
        lost,
        late,
        deliverLateOrders: async () => {
            for (const order of inTransit.splice(0)) {
                await engine.order(order);
            }
        },
        progress,
        store,
        controller,
        beforeNextState: (action: () => void) => {
            onNextState = action;
        },
        place: (changes: Partial<PlacementRecord>) => {
            offset += 1;
            store.applyEntries([{ offset, previousOffset: offset - 1, record: createPlacement(offset, changes) }]);
            controller.refreshAssignment();
        },
        tick: async (count: number) => {
            for (let round = 0; round < count; round++) {
                await controller.tick();
            }
        },
        stage: () => engine.stageChunk(scribe.manifestDigest, 0, new Uint8Array([1])),
        readPhases: () => controller.readStatuses().map(({ deployment, phase }) => `${deployment} ${phase}`),
    };
}

function createScribeCopy(changes: Partial<CopyAssignment> = {}): CopyAssignment {
    return createCopy("agent-1", { weights: scribe, ...changes });
}

async function createServingAgent() {
    const agent = createAgent();
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
        // Guards against an order that is repeated or abandoned because its answer was lost.
        it(`loads and serves once with ${lost.length} lost answers`, async () => {
            const agent = createAgent();
            agent.lost.push(...lost);
            agent.place({ copies: [createScribeCopy()] });
            await agent.tick(3);
            await agent.stage();
            agent.progress.complete = true;
            if (lost.length > 0) {
                // The order whose answer was lost may still take effect, so no other order may follow it yet.
                expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare"]);
                await agent.tick(3);
                expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare"]);
                agent.clock.advance(orderTimeLimit);
            }
            await agent.tick(3);
            agent.clock.advance(lost.length > 0 ? orderTimeLimit : 0);
            await agent.tick(3);
            expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare", "activate"]);
            expect([agent.controller.readServing().serving, agent.readPhases()]).toEqual([true, ["scribe serving"]]);
        });
    }

    // Guards against requests that are sent to weights that an order of unknown outcome has replaced meanwhile.
    it("notices an order that takes effect late before it may give the next one", async () => {
        const agent = await createServingAgent();
        const next = createWeights("scribe", "v2");
        agent.late.push("activate");
        agent.place({ base: 1, copies: [createScribeCopy({ epoch: 1, weights: next })] });
        Object.assign(agent.progress, { manifestDigest: next.manifestDigest, complete: false });
        await agent.tick(2);
        await agent.engine.stageChunk(next.manifestDigest, 0, new Uint8Array([2]));
        agent.progress.complete = true;
        await agent.tick(2);
        expect(agent.controller.readServing().manifestDigest).toEqual(scribe.manifestDigest);
        await agent.deliverLateOrders();
        await agent.tick(1);
        expect(agent.controller.readServing().manifestDigest).toEqual(next.manifestDigest);
        expect(agent.readPhases()).toEqual(["scribe serving"]);
        const given = agent.engine.orders.length;
        await agent.tick(3);
        expect(agent.engine.orders.length).toEqual(given);
    });

    // Guards against a copy that counts as released while an order may still stage or load it.
    it("does not report a copy as released while an order may still take effect", async () => {
        const agent = createAgent();
        agent.late.push("prepare");
        agent.place({ copies: [createScribeCopy()] });
        await agent.tick(2);
        agent.place({ base: 1, copies: [createScribeCopy({ epoch: 1, state: "revoked", revokedAt: 2 })] });
        await agent.tick(2);
        expect(agent.readPhases()).not.toEqual(["scribe released"]);
        agent.clock.advance(orderTimeLimit);
        await agent.tick(2);
        expect(agent.readPhases()).toEqual(["scribe released"]);
    });

    // Guards against chunks that are dropped although the new agent process could continue with them.
    it("keeps chunks that were staged before the agent restarted", async () => {
        const agent = createAgent();
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
        const agent = createAgent();
        agent.place({ copies: [createScribeCopy()] });
        agent.place({ base: 1, copies: [createScribeCopy({ epoch: 1, state: "revoked" })] });
        await agent.tick(1);
        expect([agent.readPhases(), agent.engine.orders]).toEqual([["scribe released"], []]);
    });

    // Guards against two copies on one instance.
    it("follows the copy with the smaller epoch if two deployments assign one", async () => {
        const agent = await createServingAgent();
        agent.place({ deployment: "archive", copies: [createScribeCopy({ weights: createWeights("archive", "v1") })] });
        await agent.tick(2);
        expect(agent.readPhases()).toEqual(["scribe serving", "archive released"]);
        expect(agent.controller.readServing().deployment).toEqual("scribe");
    });

    // Guards against a holder that serves without a renewal of its hold, or that keeps its copy loaded.
    it("stops serving and unloads when the hold lapses", async () => {
        const agent = await createServingAgent();
        agent.clock.advance(20_000);
        await agent.tick(2);
        expect([agent.controller.readServing().serving, agent.readPhases()]).toEqual([false, ["scribe lapsed"]]);
        expect([agent.engine.staged.size, agent.engine.orders.slice(2).map(({ kind }) => kind)])
            .toEqual([0, ["deactivate", "drop"]]);
    });

    // Guards against an order that follows from a hold which has lapsed while the process read the engine's state.
    it("does not activate a set if the hold lapses while the state is read", async () => {
        const agent = createAgent();
        agent.place({ copies: [createScribeCopy()] });
        await agent.tick(2);
        await agent.stage();
        agent.progress.complete = true;
        agent.beforeNextState(() => agent.clock.advance(20_000));
        await agent.tick(1);
        expect(agent.engine.orders.map(({ kind }) => kind)).toEqual(["prepare", "drop"]);
        expect(agent.controller.readServing().serving).toEqual(false);
    });

    const changes: readonly [name: string, deployment: string, weights: WeightSet, serving: boolean][] = [
        ["the old version of its deployment", "scribe", createWeights("scribe", "v2"), true],
        ["the old model of its deployment", "scribe", createWeights("archive", "v1"), true],
        ["the weights of another deployment", "archive", createWeights("archive", "v1"), false],
    ];
    for (const [name, deployment, weights, serving] of changes) {
        // Guards against answers from the weights of a deployment that the instance no longer belongs to, because its
        // copy was replaced while the process was paused.
        it(`${serving ? "serves" : "does not serve"} ${name} until the new set is complete`, async () => {
            const agent = await createServingAgent();
            agent.progress.complete = false;
            agent.place({ base: 1, copies: deployment === "scribe" ? [createScribeCopy({ epoch: 1, weights })] : [] });
            if (deployment !== "scribe") {
                agent.place({ deployment, copies: [createScribeCopy({ weights })] });
            }
            await agent.tick(1);
            expect(agent.controller.readServing().deployment).toEqual(deployment);
            expect(agent.controller.readServing().serving).toEqual(serving);
            expect(agent.controller.readServedStatuses().length).toEqual(serving ? 1 : 0);
        });
    }
});
