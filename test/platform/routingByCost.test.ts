import { expect } from "earl";
import { describe, it } from "node:test";
import { startAgentStandIn } from "../node/gateway/agentStandIn.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, waitUntil } from "./standIn/deployment.js";

const timing = {
    step_ms: 9,
    per_seq_ms: 0.02,
    context_per_k: 0.1,
    read_per_s: 20_000,
    pairs_per_m: 2,
    chunk: 512,
    stride: 5,
    kv_capacity_tokens: 100_000,
    usual: { prompt: 800, answer: 100 },
};
const engine = { slots: 4, models: [{ name: "quill" }], layers: 1, chunks: 1, chunk_bytes: 16 };
const weights = { models: [{ name: "quill", version: 1, adapters: [] }] };
const requests = 30;

async function countAtSlow(costAware: boolean): Promise<number> {
    await using deployment = await startDeployment({ "routing.costAware": String(costAware) });
    const slow = await deployment.addRunner({ id: "i-1", load: "0,0,4,400" });
    await deployment.addRunner({ id: "i-2", load: "0,0,4,100" });
    for (let index = 0; index < requests; index++) {
        expect((await call(deployment, "/safe/")).status).toEqual(200);
    }
    return slow.runs.length;
}

describe("routing by cost at a gateway", () => {
    // Guards against a slowdown that is read from answers and not used, and against its use where the setting is off.
    it("avoids a plain server that states that it is slow, if the setting is on", async () => {
        expect(await countAtSlow(true) <= 2).toEqual(true);
        expect(await countAtSlow(false) > 2).toEqual(true);
    });

    // Guards against streams whose events are not counted, so that neither speed nor length is ever learned.
    it("compares expected with observed times of streams where the timing of the engine is stated", async () => {
        await using agent = await startAgentStandIn({ model: "quill", version: 1, orderSequence: 1, verified: true });
        await using deployment = await startDeployment({
            "routing.costAware": "true",
            "gateway.agentPort": String(agent.port),
        });
        deployment.configure({
            version: 2,
            services: operatorConfiguration.services.map(service => ({ ...service, engine: { ...engine, ...timing } })),
        });
        const runner = await deployment.addRunner({ id: "i-1", events: 3 }, weights);
        await waitUntil("three streams are answered", async () => {
            await call(deployment, "/stream/");
            return runner.runs.length === 3;
        });
        const text = await (await fetch(deployment.metricsUrl)).text();
        const count = (time: string) =>
            new RegExp(`first_event_milliseconds_count\\{[^}]*time="${time}"[^}]*\\} (\\d+)`).exec(text)?.[1];
        expect([count("expected"), count("observed")]).toEqual(["3", "3"]);
    });
});
