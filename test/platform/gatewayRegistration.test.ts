import { expect } from "earl";
import { describe, it } from "node:test";
import { startDeployment } from "./standIn/deployment.js";
import { addGateways, crashThreeServers, listCondemned, sendFatal, startFleet } from "./standIn/fatalRequests.js";

describe("gateways that have just become ready", () => {
    // Guards against a request that crashes further backend servers at a gateway that is unknown to the others.
    it("exchange crash evidence even if the store becomes unavailable then", async () => {
        await using deployment = await startDeployment();
        const fleet = await startFleet(deployment);
        deployment.store.slow("keyed.goldcrestpoint-instances", 400);
        const gateways = await addGateways(deployment, "/unsafe/");
        deployment.store.setFault("busy");
        await crashThreeServers(fleet, gateways, "/unsafe/");
        const answers = await sendFatal(gateways, "/unsafe/", 6, 0);
        expect(listCondemned(answers).length).toEqual(6);
    });

    it("do not wait for a store that does not answer", async () => {
        await using deployment = await startDeployment();
        await startFleet(deployment);
        deployment.store.slow("keyed.goldcrestpoint-instances", 60_000);
        const startedAt = Date.now();
        await deployment.addGateway("gateway-2", { "gateway.registrationLimitMilliseconds": "800" });
        expect(Date.now() - startedAt < 2_000).toEqual(true);
    });
});
