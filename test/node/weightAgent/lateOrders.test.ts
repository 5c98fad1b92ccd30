import { expect } from "earl";
import { describe, it } from "node:test";
import { ok } from "true-myth/result";
import { createManualClock } from "../../../src/utils/index.js";
import { createAgent, createChunks, LateEngine } from "./engineSupport.js";

describe("a load order of unknown outcome", () => {
    // Guards against weights of several versions: the next version was staged before the engine accepted the order.
    it("takes the chunks of its version although a newer version is declared before it is accepted", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.holdsOrders = true;
        await agent.run();
        agent.versions.push(3);
        await agent.run(5);
        engine.holdsOrders = false;
        engine.deliver();
        expect([engine.loaded?.version, engine.isWrong]).toEqual([2, false]);
        await agent.run(2);
        expect([engine.accepted, engine.loaded?.version, engine.isWrong]).toEqual([[2, 3], 3, false]);
    });

    // Guards against early staging over the set that the engine is about to load.
    it("refuses every write to the staging area until it is resolved", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.holdsOrders = true;
        await agent.run();
        const written = await agent.writes.engine.stage("scribe", 0, createChunks(3)[0]!);
        expect([written.isErr, agent.controller.mayStage()]).toEqual([true, false]);
        engine.deliver();
        await agent.run(2);
        expect(agent.controller.mayStage()).toEqual(true);
    });

    // Guards against an engine that never loads again because an order was lost on its way.
    it("is repeated with the same expected sequence if the engine never got it", async () => {
        const engine = new LateEngine(1);
        const clock = createManualClock();
        const agent = createAgent(engine, [1, 2], clock);
        engine.holdsOrders = true;
        await agent.run();
        const original = engine.held.splice(0);
        engine.holdsOrders = false;
        agent.versions.push(3);
        await agent.run(5);
        expect(engine.accepted).toEqual([]);
        clock.advance(3_000);
        await agent.run();
        expect(engine.accepted).toEqual([2]);
        original.forEach(accept => accept());
        await agent.run(2);
        expect([engine.accepted, engine.isWrong]).toEqual([[2, 3], false]);
    });

    it("ends with a restart of the engine", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.holdsOrders = true;
        await agent.run();
        engine.holdsOrders = false;
        engine.restart();
        agent.versions.push(3);
        await agent.run(2);
        expect([engine.accepted, engine.isWrong]).toEqual([[3], false]);
    });

    // Guards against a repeated order for an engine that refused to write the first one.
    it("is not assumed if the order was not written", async () => {
        const engine = new LateEngine(1);
        engine.load = () => Promise.resolve(ok("refused"));
        const agent = createAgent(engine, [1, 2]);
        await agent.run();
        expect(agent.controller.mayStage()).toEqual(true);
    });
});
