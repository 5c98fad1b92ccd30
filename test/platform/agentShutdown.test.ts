import { expect } from "earl";
import { describe, it } from "node:test";
import { ok } from "true-myth/result";
import { createOriginClient } from "../../platform/originClient.js";
import { createTransferService, createUnlimitedBudget } from "../../src/node/agent/transfer/index.js";
import { createSetOrigin } from "../../src/node/weightAgent/setOrigin.js";
import { createWeightMemory } from "../../src/node/weightAgent/weightMemory.js";
import type { BackendServerPort } from "../../src/types/index.js";
import { createSystemClock, sleep } from "../../src/utils/index.js";
import { waitUntil } from "./standIn/deployment.js";
import { startHttpStandIn } from "./standIn/httpStandIn.js";

/** An abandoned read ends at once; one that is waited for ends after the time limit of the origin, four seconds. */
const releaseTimeLimit = 2_000;

describe("end of an agent while the origin is silent", () => {
    // Guards against a process that is killed because it waits for the origin after the signal to shut down.
    it("abandons the read of a manifest", async () => {
        let reads = 0;
        await using origin = await startHttpStandIn(() => {
            reads++;
        });
        await using client = createOriginClient();
        client.useAddress(origin.address);
        const service = createTransferService({
            self: "127.0.0.1",
            zone: "zone-a",
            backend: createWeightMemory(() => 0).port as BackendServerPort,
            origin: createSetOrigin(client, () => {}),
            verifyManifest: manifest => ok(manifest),
            linkBudget: createUnlimitedBudget(),
            clock: createSystemClock(),
            random: { next: Math.random },
        });
        service.setTarget({
            weights: { model: "quill", adapter: "", version: "2", manifestDigest: "quill@2" },
            objective: "time",
            originZone: "zone-a",
            members: [],
        });
        await waitUntil("the manifest is requested", () => reads > 0);
        const isReleased = await Promise.race([
            service[Symbol.asyncDispose]().then(() => true),
            sleep(releaseTimeLimit).then(() => false),
        ]);
        expect([isReleased, reads]).toEqual([true, 1]);
    });
});
