import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
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
    /** Sends two requests, and counts those that the engine receives. */
    countReceived(): Promise<number>;
    /** Sends requests until the engine receives one; fails if it receives none for long. */
    waitUntilUsed(): Promise<void>;
}

function createWeights(version: number) {
    return { models: [{ name: model, version, adapters: [] }] };
}

async function startEngine(reported: ReportedEngine, isAgentFrozen = false): Promise<Fixture> {
    const stack = createDisposalStack();
    const agent = stack.use(await startAgentStandIn(reported));
    if (isAgentFrozen) {
        agent.freeze();
    }
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

    async function countReceived(): Promise<number> {
        const before = runner.countArrivals();
        await Promise.all([1, 2].map(() => call(deployment, "/safe/")));
        return runner.countArrivals() - before;
    }

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
        countReceived,
        waitUntilUsed: () => waitUntil("the engine is used", async () => await countReceived() > 0),
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
        await fixture.waitUntilUsed();
        fixture.agent.freeze();
        await waitUntilExpired(fixture);
        await fixture.list(2);
        expect(await fixture.countReceived()).toEqual(0);
        fixture.agent.report({ ...verified, version: 2, orderSequence: 2, verified: false });
        fixture.agent.resume();
        expect(await fixture.countReceived()).toEqual(0);
        fixture.agent.report({ ...verified, version: 2, orderSequence: 2 });
        await fixture.waitUntilUsed();
    });

    it("is used while the list names the weights that the agent last reported as verified", async () => {
        await using fixture = await startEngine(verified);
        fixture.agent.freeze();
        await waitUntilExpired(fixture);
        await fixture.waitUntilUsed();
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
        await fixture.waitUntilUsed();
    });

    it("is used if the agent has restarted since it verified the weights", async () => {
        await using fixture = await startEngine(verified);
        await fixture.waitUntilUsed();
        fixture.agent.report({ ...verified, verified: false });
        await sleep(300);
        await fixture.waitUntilUsed();
    });

    it("is used as before if the agent does not verify weights", async () => {
        await using fixture = await startEngine({ model, version: 1 });
        await fixture.waitUntilUsed();
    });
});

describe("engine at a gateway that has not heard of a verification", () => {
    it("gets no requests before the first report of its agent", async () => {
        await using fixture = await startEngine(verified, true);
        expect(await fixture.countReceived()).toEqual(0);
        fixture.agent.resume();
        await fixture.waitUntilUsed();
    });

    it("gets no requests while an agent that has just started does not know what is loaded", async () => {
        await using fixture = await startEngine({ ...verified, verified: false });
        expect(await fixture.countReceived()).toEqual(0);
    });
});
