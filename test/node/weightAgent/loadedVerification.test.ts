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
        expect(find("load order outcome unknown")).toEqual(expect.subset({ version: 3, expectedSequence: 0 }));
        expect(find("load accepted after its outcome was unknown")).toEqual(
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
