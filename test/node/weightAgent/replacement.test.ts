import { expect } from "earl";
import { describe, it } from "node:test";
import { createManualClock } from "../../../src/utils/index.js";
import { corrupt, createAgent, createChunks, LateEngine } from "./engineSupport.js";

describe("wrong weights", () => {
    // Guards against an engine that keeps wrong weights of the newest version, whose load order has no effect.
    it("are given up before their chunks are staged again and loaded", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        const wasComplete: boolean[] = [];
        engine.beforeOrder = () => {
            engine.beforeOrder = () => {};
            engine.staged.set(3, corrupt);
        };
        await agent.run();
        engine.beforeWrite = () => wasComplete.push(engine.loaded?.version === 2);
        await agent.run(4);
        expect([engine.loaded?.version, engine.isWrong, agent.status()?.weightsVerified]).toEqual([2, false, true]);
        expect([wasComplete, engine.sequence]).toEqual([[false], 3]);
    });

    it("are replaced by a newer version without being given up first", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.beforeOrder = () => {
            engine.beforeOrder = () => {};
            engine.staged.set(3, corrupt);
            agent.versions.push(3);
        };
        await agent.run(3);
        expect([engine.accepted, engine.isWrong, agent.status()?.weightsVerified]).toEqual([[2, 3], false, true]);
    });

    // Guards against repairs that hide a wrong chunk because the engine gives up its weights later than expected.
    it("are not repaired while the outcome of the order to give them up is unknown", async () => {
        const engine = new LateEngine(1);
        const clock = createManualClock();
        const agent = createAgent(engine, [1, 2], clock);
        engine.beforeOrder = () => {
            engine.beforeOrder = () => {
                engine.holdsOrders = true;
            };
            engine.staged.set(3, corrupt);
        };
        await agent.run(4);
        expect([engine.staged.get(3), agent.controller.mayStage()]).toEqual([corrupt, false]);
        engine.beforeOrder = () => {};
        engine.holdsOrders = false;
        clock.advance(3_000);
        await agent.run(5);
        engine.deliver();
        await agent.run();
        expect([engine.loaded?.version, engine.isWrong, agent.status()?.weightsVerified]).toEqual([2, false, true]);
    });

    // Guards against the repetition of an order whose chunks have changed since it was sent.
    it("are avoided by a fence if chunks change while the outcome of the load order is unknown", async () => {
        const engine = new LateEngine(1);
        const clock = createManualClock();
        const agent = createAgent(engine, [1, 2], clock);
        engine.holdsOrders = true;
        await agent.run();
        engine.holdsOrders = false;
        engine.staged.set(0, createChunks(1)[0]!);
        clock.advance(3_000);
        await agent.run();
        expect([engine.loaded, engine.accepted]).toEqual([undefined, []]);
        engine.deliver();
        await agent.run(2);
        expect([engine.accepted, engine.isWrong, agent.status()?.weightsVerified]).toEqual([[2], false, true]);
    });
});
