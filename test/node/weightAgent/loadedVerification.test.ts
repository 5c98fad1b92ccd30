import { expect } from "earl";
import { describe, it } from "node:test";
import { createManualClock } from "../../../src/utils/index.js";
import { corrupt, createAgent, createChunks, createKeptLogger, LateEngine } from "./engineSupport.js";

describe("log lines about a load", () => {
    it("name the chunks of another version that an order of unknown outcome has loaded", async () => {
        const engine = new LateEngine(1);
        const { lines, logger } = createKeptLogger();
        const agent = createAgent(engine, [1, 2, 3], createManualClock(), logger);
        engine.holdsOrders = true;
        await agent.run();
        engine.staged.set(1, createChunks(2)[1]!);
        engine.staged.set(3, corrupt);
        engine.deliver();
        await agent.run();
        const find = (message: string) => lines.find(({ msg }) => msg === message) ?? {};
        expect(find("order outcome unknown")).toEqual(expect.subset({ version: 3, expectedSequence: 0 }));
        expect(find("order accepted after its outcome was unknown")).toEqual(
            expect.subset({ version: 3, orderSequence: 1, delayMilliseconds: 100 }),
        );
        expect(find("staged chunks differ after the load was accepted")).toEqual(
            expect.subset({ version: 3, corrupt: [3], missing: [], otherVersions: [{ index: 1, version: 2 }] }),
        );
    });

    it("state the writes whose outcome is unknown", async () => {
        const engine = new LateEngine(1);
        const { lines, logger } = createKeptLogger();
        engine.holdsWrites = true;
        await createAgent(engine, [1, 2], createManualClock(), logger).run(2);
        expect(lines.find(({ msg }) => msg === "outcome of a chunk write unknown") ?? {}).toEqual(
            expect.subset({ index: 0, version: 2 }),
        );
    });
});

describe("loaded weights", () => {
    // Guards against weights that gateways use although a chunk became corrupt while the order was under way.
    it("are not verified if a chunk became corrupt before the engine accepted the order", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.holdsOrders = true;
        await agent.run();
        engine.staged.set(2, corrupt);
        engine.deliver();
        await agent.run();
        expect([engine.isWrong, agent.status()?.weightsVerified, agent.status()?.phase]).toEqual([
            true,
            false,
            "activating",
        ]);
    });

    // Guards against a write of an earlier version that the engine carried out between verification and order.
    it("are not verified if a late write changed a chunk before the engine accepted the order", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.beforeOrder = () => {
            engine.beforeOrder = () => {};
            engine.staged.set(3, createChunks(1)[3]!);
        };
        await agent.run(4);
        expect([engine.wrongLoads, agent.countMistakes(), engine.isWrong]).toEqual([1, 0, false]);
    });

    // Guards against a wrong chunk that is written again after the engine has taken it, so that it reads back as right.
    it("are not verified if chunks were written after an order of an earlier agent was accepted", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.staged.clear();
        engine.holdsOrders = true;
        await createAgent(engine, [1, 2]).run();
        engine.holdsOrders = false;
        engine.staged.set(0, corrupt);
        engine.beforeWrite = () => engine.deliver();
        await agent.run(4);
        expect([engine.wrongLoads, agent.countMistakes(), engine.isWrong]).toEqual([1, 0, false]);
    });

    it("are verified while the engine loads, and stay verified", async () => {
        const engine = new LateEngine(1);
        const agent = createAgent(engine, [1, 2]);
        engine.loadsSlowly = true;
        await agent.run(2);
        expect([engine.busy, agent.controller.isLoading()]).toEqual([true, true]);
        engine.finish();
        await agent.run();
        expect([agent.status()?.weightsVerified, agent.status()?.phase]).toEqual([true, "serving"]);
        engine.staged.set(1, corrupt);
        await agent.run();
        expect(agent.status()?.weightsVerified).toEqual(true);
    });

    it("are verified beside an engine that has accepted no order", async () => {
        const engine = new LateEngine(1);
        engine.staged.clear();
        const agent = createAgent(engine, [1]);
        await agent.run();
        expect(agent.status()?.weightsVerified).toEqual(true);
    });
});
