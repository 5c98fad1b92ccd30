import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack } from "../../src/utils/index.js";
import { startAgentStandIn } from "../node/gateway/agentStandIn.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { RunnerStandIn, RunnerStandInOptions } from "./standIn/runnerStandIn.js";

const model = "quill";
const engine = { slots: 4, models: [{ name: model }], layers: 1, chunks: 1, chunk_bytes: 16 };
/** Loopback address of the second engine and its agent. */
const host = "127.0.0.2";

interface Fixture extends AsyncDisposable {
    readonly deployment: TestDeployment;
    readonly first: RunnerStandIn;
    readonly second: RunnerStandIn;
}

/** Starts two engines, whose agents report that they have loaded the given versions; the first may break off streams. */
async function startEngines(
    versions: readonly [number, number],
    options: Pick<RunnerStandInOptions, "events"> = {},
    breakAfter?: number,
): Promise<Fixture> {
    const stack = createDisposalStack();
    const { port } = stack.use(await startAgentStandIn({ model, version: versions[0], verified: true }));
    stack.use(await startAgentStandIn({ model, version: versions[1], verified: true }, { host, port }));
    const deployment = stack.use(await startDeployment({ "gateway.agentPort": String(port) }));
    deployment.configure({
        version: 2,
        services: operatorConfiguration.services.map(service => ({ ...service, engine })),
    });
    const list = (version: number) => ({ models: [{ name: model, version, adapters: [] }] });
    const breaking = breakAfter === undefined ? {} : { breakAfter };
    const first = await deployment.addRunner(
        { id: "i-1", version: versions[0], ...options, ...breaking },
        list(versions[0]),
    );
    const second = await deployment.addRunner({ id: "i-2", version: versions[1], host, ...options }, list(versions[1]));
    return { deployment, first, second, [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose]() };
}

describe("request to an engine that has loaded another version than its agent reported last", () => {
    // Guards against requests that run on weights that an engine loaded after the gateway chose it.
    it("does not run there, but at another engine", async () => {
        await using fixture = await startEngines([1, 1]);
        fixture.first.setVersion(2);
        await waitUntil("a request reached the engine", async () => {
            const answer = await call(fixture.deployment, "/safe/");
            expect([answer.status, answer.body]).toEqual([200, "i-2:"]);
            return fixture.first.countArrivals() > 0;
        });
        expect(fixture.first.runs).toEqual([]);
    });
});

describe("stream that is continued at another engine", () => {
    it("expects the version of that engine", async () => {
        await using fixture = await startEngines([1, 2], { events: 6 }, 3);
        await waitUntil("a stream was continued", async () => {
            const answer = await call(fixture.deployment, "/stream/");
            return answer.body.includes("i-1") && answer.complete;
        });
        const versions = [fixture.first, fixture.second].map(({ runs }) =>
            new Set(runs.map(({ headers }) => headers["expect-version"]))
        );
        expect(versions).toEqual([new Set(["1"]), new Set(["2"])]);
    });
});
