import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment, type TestDeployment } from "./standIn/deployment.js";

/** Registers gateways that do not exist. */
function registerGateways({ store }: TestDeployment, count: number): void {
    for (let index = 2; index < count + 2; index++) {
        const record = { address: `127.0.0.1:${index}`, zone: "zone-b", region: "north", startedAt: 1 };
        store.write("keyed.goldcrestpoint-instances", `gateway-${index}`, record);
    }
}

describe("gateway among many", () => {
    // Guards against a service that is never used because the share of every gateway is rounded down to no place.
    it("sends requests to a service that has fewer places than there are gateways", async () => {
        await using deployment = await startDeployment();
        registerGateways(deployment, 12);
        await deployment.addRunner({ id: "i-1" }, { slots: 6 });
        const answers = await Promise.all(Array.from({ length: 3 }, () => call(deployment, "/safe/")));
        expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
    });
});
