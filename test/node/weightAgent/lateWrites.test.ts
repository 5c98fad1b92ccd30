import { expect } from "earl";
import { describe, it } from "node:test";
import { createManualClock } from "../../../src/utils/index.js";
import { createAgent, LateEngine } from "./engineSupport.js";

describe("chunk writes of unknown outcome", () => {
    // Guards against a late write of an earlier version that a late write of the loaded version hides.
    it("delay the load while writes of two versions to the same chunk may be carried out", async () => {
        const clock = createManualClock();
        const engine = new LateEngine(1, clock);
        const agent = createAgent(engine, [1, 2], clock);
        engine.holdsWrites = true;
        await agent.run();
        agent.versions.push(3);
        await agent.run();
        engine.holdsWrites = false;
        await agent.run(3);
        expect(engine.accepted).toEqual([]);
        engine.deliverWrites();
        clock.advance(5_000);
        await agent.run(2);
        expect([engine.accepted, engine.isWrong, agent.status()?.weightsVerified]).toEqual([[3], false, true]);
    });

    // Guards against a corrupt chunk that a late write repairs after the engine has taken it.
    it("leave weights unverified whose order was accepted late", async () => {
        const clock = createManualClock();
        const engine = new LateEngine(1, clock);
        const agent = createAgent(engine, [1, 2], clock);
        engine.holdsWrites = true;
        await agent.run();
        engine.holdsWrites = false;
        engine.holdsOrders = true;
        await agent.run();
        engine.holdsOrders = false;
        engine.corrupt(0);
        clock.advance(3_500);
        engine.held.pop()?.();
        engine.deliver();
        await agent.run(6);
        expect([engine.wrongLoads, agent.countMistakes(), engine.isWrong, agent.status()?.weightsVerified]).toEqual([
            1,
            0,
            false,
            true,
        ]);
    });
});
