import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { type AgentStandIn, startAgentStandIn } from "../node/gateway/agentStandIn.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { startTestGateway, type TestGateway } from "./standIn/gateway.js";
import { type RunnerStandIn, startRunnerStandIn } from "./standIn/runnerStandIn.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";

const model = "quill";
const engine = { slots: 4, models: [{ name: model }], layers: 1, chunks: 1, chunk_bytes: 16 };

interface Fixture extends AsyncDisposable {
    readonly agent: AgentStandIn;
    readonly gateway: TestGateway;
    readonly runner: RunnerStandIn;
    readonly readReadiness: () => Promise<{ readonly status: number; readonly body: string; }>;
}

/** Starts a gateway that finds an engine in the list whose agent does not report. */
async function startBesideSilentAgent(agentWait: number): Promise<Fixture> {
    const stack = createDisposalStack();
    const store = stack.use(await startStoreStandIn());
    const services = operatorConfiguration.services.map(service => ({ ...service, engine }));
    store.write("keyed.op", "config", { ...operatorConfiguration, services });
    const runner = stack.use(await startRunnerStandIn({ id: "i-1" }));
    const weights = { models: [{ name: model, version: 1, adapters: [] }] };
    store.write("keyed.servers", "i-1", createServerRecord(runner.address, weights));
    const agent = stack.use(await startAgentStandIn({ model, version: 1, verified: true }));
    agent.freeze();
    const gateway = stack.use(
        await startTestGateway({
            instance: "gateway-1",
            storeAddress: store.address,
            flags: {
                "gateway.agentPort": String(agent.port),
                "gateway.agentWaitMilliseconds": String(agentWait),
            },
        }),
    );
    await waitUntil(
        "the gateway is registered and knows the engine",
        () =>
            ["instance registered", "configuration in force", "backend server changed"].every(message =>
                gateway.logLines.some(line => line.includes(`"msg":"${message}"`))
            ),
    );
    await sleep(200);
    return {
        agent,
        gateway,
        runner,
        readReadiness: async () => {
            const response = await fetch(gateway.readyUrl);
            return { status: response.status, body: await response.text() };
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}

describe("readiness of a gateway that has just started", () => {
    // Guards against requests that no engine may serve yet, although other gateways could serve them.
    it("waits for the first reports of agents", async () => {
        await using fixture = await startBesideSilentAgent(60_000);
        const before = await fixture.readReadiness();
        expect([before.status, before.body.includes("agents not heard")]).toEqual([503, true]);
        fixture.agent.resume();
        await waitUntil("the gateway is ready", async () => (await fixture.readReadiness()).status === 200);
        expect((await call(fixture.gateway, "/safe/")).status).toEqual(200);
    });

    it("does not depend on agents that cannot be reached", async () => {
        await using fixture = await startBesideSilentAgent(100);
        await waitUntil("the gateway is ready", async () => (await fixture.readReadiness()).status === 200);
        expect(fixture.runner.countArrivals()).toEqual(0);
    });
});
