import { expect } from "earl";
import { describe, it } from "node:test";
import { ok } from "true-myth/result";
import { createOriginClient } from "../../platform/originClient.js";
import { createTransferService, createUnlimitedBudget } from "../../src/node/agent/transfer/index.js";
import { createWeightMemory } from "../../src/node/weightAgent/weightMemory.js";
import { createWeightSetOrigin } from "../../src/node/weightAgent/weightSetOrigin.js";
import type { BackendServerPort } from "../../src/types/index.js";
import { createSystemClock, sleep } from "../../src/utils/index.js";
import { waitUntil } from "./standIn/deployment.js";
import { startHttpStandIn } from "./standIn/httpStandIn.js";

/** Milliseconds; an aborted read ends immediately, while one that is awaited takes the origin's time limit of 4 s. */
const disposalTimeLimit = 2_000;

describe("shutdown of an agent while the origin does not answer", () => {
    // Guards against a process that still waits for the origin after the shutdown signal, until it is killed.
    it("aborts the read of a manifest", async () => {
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
            origin: createWeightSetOrigin(client, () => {}),
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
        const isDisposed = await Promise.race([
            service[Symbol.asyncDispose]().then(() => true),
            sleep(disposalTimeLimit).then(() => false),
        ]);
        expect([isDisposed, reads]).toEqual([true, 1]);
    });
});
