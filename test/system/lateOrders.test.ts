import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { buildPrograms, type ProgramBuild } from "../soak/programs.js";
import { type SoakDeployment, startSoakDeployment } from "../soak/soakDeployment.js";

describe("an engine that accepts an order after the time limit of the call", () => {
    let build: ProgramBuild;
    before(async () => {
        build = await buildPrograms();
    });
    after(() => build[Symbol.dispose]());

    function start(): Promise<SoakDeployment> {
        return startSoakDeployment({ build: build.folder, seed: 1, gateways: 1, engines: 1 });
    }

    // Guards against streams from weights that became corrupt after they were verified and before they were loaded.
    it("serves no weights that became corrupt meanwhile", async () => {
        await using deployment = await start();
        const stopCallers = deployment.startCallers(6);
        deployment.engines[0]!.stallAtNextOrder(4_500, [3, 17, 30]);
        deployment.declare(2);
        await deployment.waitForEvent("engine-1 serves version 2", 60_000);
        await sleep(2_000);
        await stopCallers();
        expect(deployment.listViolations().slice(0, 1)).toEqual([]);
    });

    // Guards against streams from weights of a version that was staged while an order for another one was outstanding.
    it("serves no weights of a version that was staged meanwhile", async () => {
        await using deployment = await start();
        const stopCallers = deployment.startCallers(6);
        deployment.engines[0]!.delayOrders(25_000, 5_000);
        deployment.declare(2);
        await deployment.waitForEvent("engine-1 receives an order", 30_000);
        deployment.declare(3);
        await deployment.waitForEvent("engine-1 serves version 3", 60_000);
        await stopCallers();
        expect(deployment.listViolations().slice(0, 1)).toEqual([]);
    });
});
