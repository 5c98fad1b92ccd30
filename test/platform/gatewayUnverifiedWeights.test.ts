import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack } from "../../src/utils/index.js";
import { type AgentStandIn, type ReportedEngine, startAgentStandIn } from "../node/gateway/agentStandIn.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { RunnerStandIn } from "./standIn/runnerStandIn.js";
import { createServerRecord } from "./standIn/serverRecord.js";

const model = "quill";
const engine = { slots: 4, models: [{ name: model }], layers: 1, chunks: 1, chunk_bytes: 16 };
const verified: ReportedEngine = { model, version: 1, orderSequence: 1, verified: true };
const reportExpiry = 400;

/** Engine with version 1 of its weights, whose agent has verified them. */
interface Fixture extends AsyncDisposable {
    readonly agent: AgentStandIn;
    readonly deployment: TestDeployment;
    readonly runner: RunnerStandIn;
    /** Changes the version that the list names, and waits until the gateway has read it. */
    list(version: number): Promise<void>;
    /** Sends requests one after the other, and counts those that the engine receives. */
    countReceived(): Promise<number>;
}

function createWeights(version: number) {
    return { models: [{ name: model, version, adapters: [] }] };
}

async function startEngine(reported: ReportedEngine): Promise<Fixture> {
    const stack = createDisposalStack();
    const agent = stack.use(await startAgentStandIn(reported));
    const deployment = stack.use(
        await startDeployment({
            "gateway.agentPort": String(agent.port),
            "gateway.reportExpiryMilliseconds": String(reportExpiry),
        }),
    );
    deployment.configure({
        version: 2,
        services: operatorConfiguration.services.map(service => ({ ...service, engine })),
    });
    const runner = await deployment.addRunner({ id: "i-1" }, createWeights(1));
    return {
        agent,
        deployment,
        runner,
        list: async version => {
            deployment.store.write("keyed.servers", "i-1", createServerRecord(runner.address, createWeights(version)));
            const isRead = () =>
                deployment.logLines.some(line =>
                    line.includes("\"backend server changed\"") && line.includes(`"version":${version}`)
                );
            await waitUntil("the gateway has read the list", isRead);
        },
        countReceived: async () => {
            const before = runner.countArrivals();
            await Promise.all([1, 2].map(() => call(deployment, "/safe/")));
            return runner.countArrivals() - before;
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}

async function waitUntilExpired({ deployment }: Fixture): Promise<void> {
    await waitUntil(
        "the report has expired",
        () => deployment.logLines.some(line => line.includes("\"agent report expired\"")),
    );
}

describe("engine whose agent is gone", () => {
    // Guards against requests to weights that an order loaded that was accepted while the agent was gone.
    it("gets none once the list names another version, until an agent reports that one as verified", async () => {
        await using fixture = await startEngine(verified);
        expect(await fixture.countReceived()).toEqual(2);
        fixture.agent.freeze();
        await waitUntilExpired(fixture);
        await fixture.list(2);
        expect(await fixture.countReceived()).toEqual(0);
        fixture.agent.report({ ...verified, version: 2, orderSequence: 2, verified: false });
        fixture.agent.resume();
        expect(await fixture.countReceived()).toEqual(0);
        fixture.agent.report({ ...verified, version: 2, orderSequence: 2 });
        await waitUntil("the engine is used", async () => await fixture.countReceived() > 0);
    });

    it("is used while the list names the weights that the agent last reported as verified", async () => {
        await using fixture = await startEngine(verified);
        fixture.agent.freeze();
        await waitUntilExpired(fixture);
        expect(await fixture.countReceived()).toEqual(2);
    });
});

describe("engine whose agent reports", () => {
    it("gets no requests while the weights of a new order are not verified", async () => {
        await using fixture = await startEngine(verified);
        fixture.agent.report({ ...verified, orderSequence: 2, verified: false });
        await waitUntil(
            "the report has arrived",
            () => fixture.deployment.logLines.some(line => line.includes("\"orderSequence\":2")),
        );
        expect(await fixture.countReceived()).toEqual(0);
        fixture.agent.report({ ...verified, orderSequence: 2 });
        await waitUntil("the engine is used", async () => await fixture.countReceived() > 0);
    });

    it("is used if the agent has restarted since it verified the weights", async () => {
        await using fixture = await startEngine(verified);
        expect(await fixture.countReceived()).toEqual(2);
        fixture.agent.report({ ...verified, verified: false });
        expect(await fixture.countReceived()).toEqual(2);
    });

    it("is used as before if the agent does not verify weights", async () => {
        await using fixture = await startEngine({ model, version: 1 });
        expect(await fixture.countReceived()).toEqual(2);
    });
});

describe("engine whose agent a gateway has not heard", () => {
    it("gets no requests before the first report", async () => {
        await using fixture = await startEngine({ ...verified, verified: false });
        expect(await fixture.countReceived()).toEqual(0);
    });
});
