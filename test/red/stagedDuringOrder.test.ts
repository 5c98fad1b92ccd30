import { expect } from "earl";
import { describe, it } from "node:test";
import { buildPrograms } from "../soak/programs.js";
import { startSoakDeployment } from "../soak/soakDeployment.js";

describe("an engine that accepts an order after the time limit of the call", () => {
    // Guards against streams from weights of a version that was staged while an order for another one was outstanding.
    it("serves no weights of a version that was staged meanwhile (seed 1)", async () => {
        using build = await buildPrograms();
        await using deployment = await startSoakDeployment({ build: build.folder, seed: 1, gateways: 1, engines: 1 });
        const stopCallers = deployment.startCallers(6);
        deployment.engines[0]!.delayOrders(25_000, 5_000);
        deployment.declare(2);
        await deployment.waitForEvent("engine-1 receives an order", 15_000);
        deployment.declare(3);
        await deployment.waitForEvent("engine-1 serves version 3", 35_000);
        await stopCallers();
        expect(deployment.listViolations().slice(0, 1)).toEqual([]);
    });
});
