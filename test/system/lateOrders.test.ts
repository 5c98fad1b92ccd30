import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { buildPrograms } from "../soak/programs.js";
import { startSoakDeployment } from "../soak/soakDeployment.js";

describe("an engine that accepts an order after the time limit of the call", () => {
    // Guards against streams from weights that became corrupt after they were verified and before they were loaded.
    it("serves no weights that became corrupt meanwhile (seed 1)", async () => {
        using build = await buildPrograms();
        await using deployment = await startSoakDeployment({ build: build.folder, seed: 1, gateways: 1, engines: 1 });
        const stopCallers = deployment.startCallers(6);
        deployment.engines[0]!.stallAtNextOrder(4_500, [3, 17, 30]);
        deployment.declare(2);
        await deployment.waitForEvent("engine-1 serves version 2", 35_000);
        await sleep(2_000);
        await stopCallers();
        expect(deployment.listViolations().slice(0, 1)).toEqual([]);
    });
});
