import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { buildPrograms } from "../soak/programs.js";
import { startSoakDeployment } from "../soak/soakDeployment.js";

describe("an engine that accepts an order after its agent was killed", () => {
    // Guards against engines that stay out of service until the next version, since no agent can vouch for their weights.
    it("serves the version once its agent runs again (seed 1)", async () => {
        using build = await buildPrograms();
        await using deployment = await startSoakDeployment({ build: build.folder, seed: 1, gateways: 1, engines: 1 });
        const stopCallers = deployment.startCallers(4);
        deployment.engines[0]!.stallAtNextOrder(4_500, [3, 17, 30]);
        deployment.declare(2);
        await deployment.waitForEvent("engine-1 receives an order", 15_000);
        await sleep(1_500);
        await deployment.agents[0]!.restart("SIGKILL", 4_000);
        await deployment.waitForEvent("engine-1 serves version 2", 20_000);
        await stopCallers();
        expect(deployment.listViolations().slice(0, 1)).toEqual([]);
    });
});
