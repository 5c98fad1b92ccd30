import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, waitUntil } from "./standIn/deployment.js";
import { startHeldLink } from "./standIn/heldLink.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import { startRunnerStandIn } from "./standIn/runnerStandIn.js";

const model = "quill";
const engine = { slots: 4, models: [{ name: model }], layers: 1, chunks: 1, chunk_bytes: 16 };
const flags = {
    "gateway.versionLimitMilliseconds": "5000",
    "gateway.switchAfterMilliseconds": "1100",
    "routing.ejectionMilliseconds": "100",
};

function createWeights(version: number) {
    return { models: [{ name: model, version, adapters: [] }] };
}

describe("backend server with an older version behind a link that holds requests back", () => {
    // Guards against requests that wait on their way and begin on the older version after the version limit.
    it("gets none that are sent after the first one has had no answer for a second", async () => {
        await using deployment = await startDeployment(flags);
        deployment.configure({
            version: 2,
            services: operatorConfiguration.services.map(service => ({ ...service, engine })),
        });
        await using outdated = await startRunnerStandIn({ id: "i-1" });
        await using link = await startHeldLink(outdated.address, "delivered");
        await deployment.addRunnerRecord("i-1", link.address, createWeights(1));
        await deployment.addRunner({ id: "i-2" }, createWeights(2));
        await Promise.all([1, 2, 3, 4].map(() => call(deployment, "/safe/")));
        deployment.store.write("keyed.op", `version/${model}`, { model, version: 2 });
        await waitUntil(
            "the version is known",
            () => deployment.logLines.some(line => line.includes("\"msg\":\"version declared\"")),
        );
        link.hold();
        const warmUp = outdated.countArrivals();
        const rate = 20;
        await callAtRate(deployment, { path: "/safe/", rate, duration: 3_000 });
        link.release();
        await sleep(200);
        const held = outdated.runs.slice(warmUp).map(({ attemptId }) => Number(attemptId.split("-")[1]));
        const firstHeld = Math.min(...held);
        expect(held.length).toBeGreaterThan(0);
        expect(held.filter(number => number - firstHeld > 1.5 * rate)).toEqual([]);
    });
});
