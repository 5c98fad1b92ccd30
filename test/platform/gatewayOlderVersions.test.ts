import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { startAgentStandIn } from "../node/gateway/agentStandIn.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, waitUntil } from "./standIn/deployment.js";
import { startTestGateway } from "./standIn/gateway.js";
import { startHeldLink } from "./standIn/heldLink.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import { startRunnerStandIn } from "./standIn/runnerStandIn.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";

const model = "quill";
/** Loopback address of the second runner and its agent. */
const host = "127.0.0.2";
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
        await using agents = createDisposalStack();
        const { port } = agents.use(await startAgentStandIn({ model, version: 1, verified: true }));
        agents.use(await startAgentStandIn({ model, version: 2, verified: true }, { host, port }));
        await using deployment = await startDeployment({ ...flags, "gateway.agentPort": String(port) });
        deployment.configure({
            version: 2,
            services: operatorConfiguration.services.map(service => ({ ...service, engine })),
        });
        await using outdated = await startRunnerStandIn({ id: "i-1" });
        await using link = await startHeldLink(outdated.address, "delivered");
        await deployment.addRunnerRecord("i-1", link.address, createWeights(1));
        await deployment.addRunner({ id: "i-2", host }, createWeights(2));
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

describe("backend server with an older version at a gateway that starts long after the declaration", () => {
    // Guards against requests that are sent right before the gateway has settled, and that begin only afterwards.
    it("gets none that could wait until the gateway has settled", async () => {
        await using stack = createDisposalStack();
        const store = stack.use(await startStoreStandIn());
        store.write("keyed.op", "config", {
            ...operatorConfiguration,
            services: operatorConfiguration.services.map(service => ({ ...service, engine })),
        });
        store.write("keyed.op", `version/${model}`, { model, version: 2 });
        const outdated = stack.use(await startRunnerStandIn({ id: "i-1" }));
        const agent = stack.use(await startAgentStandIn({ model, version: 1, verified: true }));
        store.write("keyed.servers", "i-1", createServerRecord(outdated.address, createWeights(1)));
        const startedAt = performance.now();
        const settleTime = 3_000;
        const gateway = stack.use(
            await startTestGateway({
                instance: "gateway-1",
                storeAddress: store.address,
                flags: {
                    ...flags,
                    "gateway.agentPort": String(agent.port),
                    "gateway.settleTimeMilliseconds": String(settleTime),
                },
            }),
        );
        await waitUntil("the gateway is ready", async () => (await fetch(gateway.readyUrl)).status === 200);
        await callAtRate(gateway, { path: "/safe/", rate: 40, duration: settleTime });
        const times = outdated.arrivedAt.map(at => at - startedAt);
        expect(times.length).toBeGreaterThan(20);
        expect(times.filter(time => time > settleTime - 500)).toEqual([]);
    });
});
