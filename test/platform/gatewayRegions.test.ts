import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { RunnerStandIn, RunnerStandInOptions } from "./standIn/runnerStandIn.js";

/** Deployment with a server beside the gateway, in the region south, and another one in the region north. */
interface RegionDeployment extends AsyncDisposable {
    readonly deployment: TestDeployment;
    readonly south: RunnerStandIn;
    readonly north: RunnerStandIn;
}

/** Restricts all routes, and the account, to regions, and waits until that is in force; empty lists allow any. */
async function restrict(
    deployment: TestDeployment,
    routeRegions: readonly string[],
    accountRegions: readonly string[],
): Promise<void> {
    const revision = 3;
    deployment.configure({
        version: revision,
        routes: operatorConfiguration.routes.map(route => ({ ...route, allowed_regions: routeRegions })),
        tenants: [{ ...operatorConfiguration.tenants[0], allowed_regions: accountRegions }],
    });
    await waitUntil(
        "the configuration is in force",
        () =>
            deployment.logLines.some(line =>
                line.includes("\"configuration in force\"") && line.includes(`"revision":${revision},`)
            ),
    );
}

/** Longest time for which a request that is refused may be held: an eighth of the target latency of its route. */
const longestHold = 1_000 / 8;

/** Lists for how long the gateway held the requests that it refused for a reason, in milliseconds by its own clock. */
function findRefusals({ logLines }: TestDeployment, reason: string): readonly number[] {
    return logLines.map(line => JSON.parse(line) as Record<string, unknown>)
        .filter(line => line["msg"] === "admission decision" && line["reason"] === reason)
        .map(line => Number(line["waited"]));
}

async function startRegions(
    south: Partial<RunnerStandInOptions> = {},
    north: Partial<RunnerStandInOptions> = {},
): Promise<RegionDeployment> {
    const deployment = await startDeployment({ "gateway.zoneRegions": "zone-a:south,zone-b:north" });
    return {
        deployment,
        south: await deployment.addRunner({ id: "i-1", ...south }, { slots: 1 }),
        north: await deployment.addRunner({ id: "i-2", ...north }, { zone: "zone-b", slots: 1 }),
        [Symbol.asyncDispose]: () => deployment[Symbol.asyncDispose](),
    };
}

describe("requests that may be served in one region only", { concurrency: 3 }, () => {
    // Guards against requests that run beside the gateway because the servers of their own region are busy.
    for (const [route, account] of [[["north"], []], [[], ["north"]], [["north", "south"], ["north", "west"]]]) {
        it(`are sent nowhere else: ${JSON.stringify(route)} and ${JSON.stringify(account)}`, async () => {
            await using regions = await startRegions({}, { workMilliseconds: 50 });
            await restrict(regions.deployment, route!, account!);
            const calls = Array.from({ length: 30 }, () => call(regions.deployment, "/unsafe/"));
            const statuses = (await Promise.all(calls)).map(({ status }) => status);
            expect(regions.south.countArrivals()).toEqual(0);
            expect(statuses.filter(status => status === 200).length).toEqual(regions.north.runs.length);
            expect(regions.north.runs.length > 0).toEqual(true);
        });
    }

    // Guards against a second attempt in another region.
    for (const behaviour of ["error", "reset", "shed", "silent", "turn-away"] as const) {
        it(`are neither retried nor hedged elsewhere after this behaviour: ${behaviour}`, async () => {
            await using regions = await startRegions();
            await restrict(regions.deployment, ["north"], []);
            regions.north.setBehaviour(behaviour);
            expect((await call(regions.deployment, "/safe/")).status >= 500).toEqual(true);
            expect([regions.south.countArrivals(), regions.north.countArrivals() > 0]).toEqual([0, true]);
        });
    }

    // Guards against a broken stream that continues in another region.
    it("are not continued elsewhere after their stream broke", async () => {
        await using regions = await startRegions({ events: 5 }, { events: 5, breakAfter: 2 });
        await restrict(regions.deployment, ["north"], []);
        const { body, complete } = await call(regions.deployment, "/stream/");
        expect([complete, body.includes("id: 2"), body.includes("id: 3")]).toEqual([false, true, false]);
        expect(regions.south.countArrivals()).toEqual(0);
    });

    // Guards against requests that are held until their deadline although no server can ever serve them.
    for (const [route, account] of [[["west"], []], [["north"], ["south"]]]) {
        it(`are refused at once without such a server: ${JSON.stringify([route, account])}`, async () => {
            await using regions = await startRegions();
            await restrict(regions.deployment, route!, account!);
            const { headers, status } = await call(regions.deployment, "/safe/");
            expect([status, Number(headers["retry-after"]) > 0]).toEqual([503, true]);
            expect(findRefusals(regions.deployment, "outside-regions").map(waited => waited <= longestHold)).toEqual([
                true,
            ]);
            expect(regions.south.countArrivals() + regions.north.countArrivals()).toEqual(0);
        });
    }
});

describe("configuration that narrows the regions", () => {
    // Guards against requests that run in a region that was forbidden while they waited for a place there.
    it("refuses the requests that wait, and lets those that run finish", async () => {
        await using deployment = await startDeployment({ "gateway.zoneRegions": "zone-a:south" });
        const routes = operatorConfiguration.routes.map(route => ({ ...route, target_latency_ms: 8_000 }));
        deployment.configure({ version: 2, routes });
        const south = await deployment.addRunner({ id: "i-1", workMilliseconds: 800 }, { slots: 1 });
        const calls = Array.from({ length: 12 }, () => call(deployment, "/unsafe/"));
        await waitUntil("a request runs", () => south.runs.length > 0);
        const running = south.runs.length;
        await restrict(deployment, ["north"], []);
        const narrowedAt = performance.now();
        const statuses = (await Promise.all(calls)).map(({ status }) => status);
        expect(performance.now() - narrowedAt < 900).toEqual(true);
        expect([running < 12, south.runs.length]).toEqual([true, running]);
        expect(statuses.filter(status => status === 200).length).toEqual(running);
        expect(statuses.filter(status => status === 503).length).toEqual(12 - running);
    });
});
