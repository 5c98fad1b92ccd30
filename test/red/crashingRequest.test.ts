import { expect } from "earl";
import { describe, it } from "node:test";
import { startDeployment, waitUntil } from "../platform/standIn/deployment.js";
import {
    addGateways,
    listCondemned,
    pause,
    sendFatal,
    settleMilliseconds,
    startFleet,
} from "../platform/standIn/fatalRequests.js";
import type { TestGateway } from "../platform/standIn/gateway.js";

describe("gateways before a request that ends its backend servers", () => {
    // Guards against gateways that learn of each other's crashes from the store alone, or not from it.
    it("know it while the store is away, and after all of them have started anew", async () => {
        await using deployment = await startDeployment();
        const fleet = await startFleet(deployment);
        const gateways = await addGateways(deployment, "/unsafe/");
        deployment.store.setFault("busy");
        await waitUntil("three backend servers have ended", async () => {
            await sendFatal(gateways, "/unsafe/", gateways.length, 100);
            return fleet.ends.length >= 3;
        });
        await pause(settleMilliseconds);
        const answers = await sendFatal(gateways, "/unsafe/", 6, 0);
        expect(answers.map(answer => [answer?.status, answer?.headers["retry-after"], answer?.body]))
            .toEqual(answers.map(() => [502, undefined, expect.includes("crashes-backend-servers")]));
        deployment.store.setFault("none");
        const isWritten = ({ logLines }: TestGateway) =>
            logLines.some(line => line.includes("condemned request written"));
        await waitUntil("the request is in the log", () => gateways.some(isWritten));
        await Promise.all([deployment.stop(), ...gateways.slice(1).map(gateway => gateway[Symbol.asyncDispose]())]);
        const ends = fleet.ends.length;
        const restarted = await deployment.addGateway("gateway-4");
        expect(listCondemned(await sendFatal([restarted], "/unsafe/", 1, 0)).length).toEqual(1);
        expect(fleet.ends.length).toEqual(ends);
    });
});
