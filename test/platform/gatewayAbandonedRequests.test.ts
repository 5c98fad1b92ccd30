import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";
import { startHeldLink } from "./standIn/heldLink.js";
import { startRunnerStandIn } from "./standIn/runnerStandIn.js";

describe("request that its gateway has abandoned", () => {
    // Guards against a request that runs after its caller has been answered, once a partition ends.
    it("does not reach a backend server behind an interrupted link", async () => {
        await using deployment = await startDeployment();
        await using silent = await startRunnerStandIn({ id: "i-1" });
        await using link = await startHeldLink(silent.address, "lost");
        await deployment.addRunnerRecord("i-1", link.address);
        await call(deployment, "/safe/");
        link.hold();
        const answer = await call(deployment, "/unsafe/", { headers: { "deadline-ms": "300" } });
        link.release();
        await sleep(200);
        expect([answer.status, silent.countArrivals()]).toEqual([504, 1]);
    });
});
