import { expect } from "earl";
import { describe, it } from "node:test";
import { createEntryQuery } from "../../src/node/cli/entryQuery.js";
import type { RouteExplanation } from "../../src/node/gateway/selection/routeExplainer.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";

const headers = { host: "members.example", authorization: "Token key-1", "attempt-id": "question" };

async function explain({ metricsUrl }: TestDeployment, path: string, changes: Readonly<Record<string, string>> = {}) {
    await using query = createEntryQuery(2_000);
    const question = encodeURIComponent(JSON.stringify({ path, headers: { ...headers, ...changes } }));
    const answer = await query.get(new URL(metricsUrl).origin, `/operations/route?question=${question}`);
    return answer.isOk ? answer.value : { status: 0, body: undefined };
}

describe("explanation of where a request would go", () => {
    // Guards against an explanation that sends the request, or that differs from what the gateway would do.
    it("names the candidates, and the reason for each server that is left out, without sending anything", async () => {
        await using deployment = await startDeployment({ "gateway.zoneRegions": "zone-a:south,zone-b:north" });
        const south = await deployment.addRunner({ id: "i-1" });
        const north = await deployment.addRunner({ id: "i-2" }, { zone: "zone-b" });
        const [safe, ...routes] = operatorConfiguration.routes;
        deployment.configure({ version: 2, routes: [{ ...safe, allowed_regions: ["south"] }, ...routes] });
        await waitUntil("the regions are limited", async () => {
            const { body } = await explain(deployment, "/safe/x");
            return (body as RouteExplanation).allowedRegions !== undefined;
        });
        const { body, status } = await explain(deployment, "/safe/x");
        const { clientAccount, route, servers } = body as RouteExplanation;
        expect([status, route, clientAccount]).toEqual([200, "safe", "family"]);
        expect(servers.map(({ instance, leftOut }) => [instance, leftOut])).toEqual([
            ["i-1", undefined],
            ["i-2", "outside-regions"],
        ]);
        expect(south.countArrivals() + north.countArrivals()).toEqual(0);
    });

    it("states why a request is not allowed", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        const unknownRoute = await explain(deployment, "/nowhere/");
        const unknownKey = await explain(deployment, "/safe/", { authorization: "Token key-9" });
        const nameless = await explain(deployment, "/safe/", { "attempt-id": "" });
        expect([unknownRoute, unknownKey, nameless].map(({ body, status }) => [
            status,
            (body as { readonly problem: string; }).problem,
        ])).toEqual([[404, "no-route"], [401, "unknown-key"], [400, "no-request-id"]]);
    });
});
