import { expect } from "earl";
import { describe, it } from "node:test";
import { createHttpClient, type HttpClient } from "../../src/node/httpClient/index.js";
import { startPlatformStandIn, startServiceStandIn } from "../../src/standIn/index.js";
import { createSystemClock } from "../../src/utils/index.js";

describe("the control interface of a stand-in", () => {
    // Guards against fault rules that have no effect, apply to other requests than configured, or cannot be removed.
    it("applies fault rules that arrive over HTTP, skips and counts requests, and removes them", async () => {
        await using service = await startServiceStandIn();
        await using client = createHttpClient({ baseUrl: service.baseUrl });
        const rule = JSON.stringify({ operation: "execute", kind: "refuse", skip: 1, times: 1 });
        expect(await send(client, "POST", "/control/faults", rule)).toEqual(204);
        const statuses = [];
        for (let index = 0; index < 3; index++) {
            statuses.push(await send(client, "GET", "/links"));
        }
        expect(statuses).toEqual([200, 503, 200]);
        await send(client, "POST", "/control/faults", JSON.stringify({ operation: "*", kind: "refuse" }));
        expect(await send(client, "GET", "/links")).toEqual(503);
        expect(await send(client, "DELETE", "/control/faults")).toEqual(204);
        expect(await send(client, "GET", "/links")).toEqual(200);
    });

    // Guards against misspelled rules that are accepted and have no effect.
    it("refuses an unknown fault", async () => {
        await using service = await startServiceStandIn();
        await using client = createHttpClient({ baseUrl: service.baseUrl });
        const rules = [{ operation: "execute", kind: "lost" }, { kind: "refuse" }, {
            operation: "x",
            kind: "slow",
            by: 1,
        }];
        for (const rule of rules) {
            expect(await send(client, "POST", "/control/faults", JSON.stringify(rule))).toEqual(400);
        }
    });

    // Guards against an outage in which new connections are still accepted, and against one that cannot be ended.
    it("refuses connections during an outage", async () => {
        await using service = await startServiceStandIn();
        await using client = createHttpClient({ baseUrl: service.baseUrl });
        await send(client, "POST", "/control/suspend", JSON.stringify({ milliseconds: 3_600_000 }));
        while (await send(client, "GET", "/health") !== undefined) {
            // The outage begins only after the response to the control request has been sent.
        }
        const refused = await client.send({ method: "GET", path: "/health" });
        expect(refused.isErr && refused.error.requestWritten).toEqual(false);
        await service.resume();
        expect(await send(client, "GET", "/health")).toEqual(200);
    });

    // Guards against concurrent transfers that together exceed the rate of the origin's link.
    it("sends chunks no faster than the origin's link", async () => {
        const set = { model: "m", adapter: "", version: "1", totalBytes: 300_000, chunkBytes: 100_000 };
        await using platform = await startPlatformStandIn({ originBytesPerSecond: 1_000_000, weightSets: [set] });
        await using client = createHttpClient({ baseUrl: platform.baseUrl });
        const digest = platform.weights.resolve("m", "", "1")!.digest;
        const clock = createSystemClock();
        const startedAt = clock.monotonic();
        await Promise.all([0, 1, 2].map(index => send(client, "GET", `/weights/${digest}/chunks/${index}`)));
        expect(clock.monotonic() - startedAt >= 290).toEqual(true);
    });
});

async function send(client: HttpClient, method: string, path: string, body?: string): Promise<number | undefined> {
    const answer = await client.send({ method, path, body });
    return answer.isOk ? answer.value.status : undefined;
}
