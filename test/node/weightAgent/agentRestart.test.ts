import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { assignWave } from "../../../src/runtime/rollout/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { corrupt, createAgent, createChunks, LateEngine } from "./engineSupport.js";

describe("an agent that starts beside an engine with weights", () => {
    it("verifies them by what is staged", async () => {
        const engine = new LateEngine(1);
        await createAgent(engine, [1, 2]).run(2);
        const agent = createAgent(engine, [2]);
        await agent.run(2);
        expect([agent.status()?.weightsVerified, engine.sequence]).toEqual([true, 1]);
    });

    // Guards against wrong weights that count as right because the agent that loaded them is gone.
    it("does not verify them by chunks of another version, and leaves them to gateways that know them", async () => {
        const clock = createManualClock();
        const engine = new LateEngine(1, clock);
        await createAgent(engine, [1, 2], clock).run(2);
        engine.staged.set(2, createChunks(1)[2]!);
        engine.running = 1;
        const agent = createAgent(engine, [2], clock);
        await agent.run(2);
        clock.advance(6_000);
        await agent.run(2);
        expect([agent.status()?.weightsVerified, agent.status()?.phase, engine.sequence]).toEqual([
            false,
            "serving",
            1,
        ]);
    });

    // Guards against an engine that is never used again, since neither its agent nor a gateway can verify its weights.
    it("replaces weights that it cannot verify and that get no requests", async () => {
        const clock = createManualClock();
        const engine = new LateEngine(1, clock);
        await createAgent(engine, [1, 2], clock).run(2);
        engine.staged.set(2, corrupt);
        const agent = createAgent(engine, [2], clock);
        await agent.run(2);
        expect(engine.sequence).toEqual(1);
        clock.advance(6_000);
        await agent.run(4);
        expect([engine.sequence, engine.isWrong, agent.status()?.weightsVerified]).toEqual([3, false, true]);
    });

    // Guards against a service without engines after the agents of all engines have restarted.
    it("replaces them only in its turn", async () => {
        const clock = createManualClock();
        const engine = new LateEngine(1, clock);
        const logger = pino({ level: "silent" });
        const names = Array.from({ length: 50 }, (...[, index]) => `other-${index}`);
        const other = names.find(name => assignWave(["a", name], "a", 2, 2) === 1)!;
        await createAgent(engine, [1, 2], clock, logger, ["a"]).run(2);
        engine.staged.set(2, corrupt);
        const agent = createAgent(engine, [2], clock, logger, ["a", other]);
        await agent.run(2);
        clock.advance(6_000);
        await agent.run(4);
        expect(engine.sequence).toEqual(1);
        clock.advance(5_000);
        await agent.run(4);
        expect([engine.sequence, agent.status()?.weightsVerified]).toEqual([3, true]);
    });

    // Guards against weights of several versions after an order of the earlier agent is accepted during staging.
    it("finds that an order of the earlier agent was accepted while it staged a newer version", async () => {
        const clock = createManualClock();
        const engine = new LateEngine(1, clock);
        engine.holdsOrders = true;
        await createAgent(engine, [1, 2], clock).run();
        engine.holdsOrders = false;
        const agent = createAgent(engine, [1, 2, 3], clock);
        let writes = 0;
        engine.beforeWrite = () => {
            if (++writes === 3) {
                engine.deliver();
            }
        };
        await agent.run(4);
        expect([engine.wrongLoads, agent.countMistakes()]).toEqual([1, 0]);
        expect([engine.loaded?.version, engine.isWrong, agent.status()?.weightsVerified]).toEqual([3, false, true]);
    });
});
