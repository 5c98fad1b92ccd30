import { expect } from "earl";
import { describe, it } from "node:test";
import type { EvacuationStatus } from "../../src/node/gateway/membership/evacuationStatus.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import type { RunnerStandIn, RunnerStandInOptions } from "./standIn/runnerStandIn.js";

/** `evacuate_ms` of the installations: time after which nothing may be sent to the zone. */
const evacuationLimit = 5_000;

/** Deployment with a server beside the gateway, and one in another zone. */
interface ZoneDeployment extends AsyncDisposable {
    readonly deployment: TestDeployment;
    readonly beside: RunnerStandIn;
    readonly other: RunnerStandIn;
}

/** Answer of the gateway's status address. */
interface EvacuationList {
    readonly evacuations: readonly EvacuationStatus[];
}

async function startZones(options: Partial<RunnerStandInOptions> = {}): Promise<ZoneDeployment> {
    const deployment = await startDeployment({ "gateway.zoneRegions": "zone-a:south,zone-b:south" });
    return {
        deployment,
        beside: await deployment.addRunner({ id: "i-1", ...options }),
        other: await deployment.addRunner({ id: "i-2", ...options }, { zone: "zone-b" }),
        [Symbol.asyncDispose]: () => deployment[Symbol.asyncDispose](),
    };
}

async function evacuate({ logLines, store }: TestDeployment, zone: string): Promise<void> {
    store.write("keyed.op", `evacuate/${zone}`, { zone });
    const isLogged = () =>
        logLines.some(line => line.includes("\"evacuation begun\"") && line.includes(`"zone":"${zone}"`));
    await waitUntil("the zone is evacuated", isLogged, evacuationLimit);
}

async function lift({ logLines, store }: TestDeployment, zone: string): Promise<void> {
    store.writeBytes("keyed.op", `evacuate/${zone}`, Buffer.alloc(0));
    await waitUntil("the evacuation is lifted", () => logLines.some(line => line.includes("\"evacuation lifted\"")));
}

describe("evacuated zone", { concurrency: 3 }, () => {
    // Guards against requests to the zone, and against refusals while there is room elsewhere.
    it("gets no request until its evacuation is lifted", async () => {
        await using zones = await startZones();
        const { beside, deployment, other } = zones;
        await evacuate(deployment, "zone-a");
        const before = beside.countArrivals();
        const answers = await callAtRate(deployment, { path: "/safe/", rate: 40, duration: 1_000 });
        expect(answers.every(({ status }) => status === 200)).toEqual(true);
        expect([beside.countArrivals() - before, other.runs.length >= 40]).toEqual([0, true]);
        await lift(deployment, "zone-a");
        await callAtRate(deployment, { path: "/safe/", rate: 40, duration: 1_000 });
        expect(beside.countArrivals() > before).toEqual(true);
    });

    // Guards against streams that an evacuation cuts off.
    it("completes the streams that run there", async () => {
        await using zones = await startZones({ events: 20, eventMilliseconds: 50 });
        const { beside, deployment, other } = zones;
        const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 8_000 }));
        deployment.configure({ version: 2, routes });
        await waitUntil(
            "the timeout is raised",
            () => deployment.logLines.some(line => line.includes("\"revision\":2,")),
        );
        const headers = { "deadline-ms": "8000" };
        // As many as the other server has slots, so that none is refused if the evacuation comes before it is sent.
        const streams = Array.from({ length: 4 }, () => call(deployment, "/stream/", { headers }));
        await waitUntil("a stream runs there", () => beside.runs.length > 0);
        await evacuate(deployment, "zone-a");
        // Guards against operators who cannot see whether requests still run in the zone.
        const status = await (await fetch(new URL("/evacuations", deployment.metricsUrl))).json() as EvacuationList;
        expect(status.evacuations.map(({ running, servers, zone }) => [zone, servers, running])).toEqual([
            ["zone-a", 1, beside.runs.length],
        ]);
        expect(Math.abs(Date.parse(status.evacuations[0]!.since) - Date.now()) < evacuationLimit).toEqual(true);
        const answers = await Promise.all(streams);
        expect(answers.every(({ body, complete }) => complete && body.includes("id: 20"))).toEqual(true);
        expect(beside.runs.length + other.runs.length).toEqual(4);
    });

    // Guards against a broken stream, or a retry, that comes back to the zone.
    it("gets no retry", async () => {
        await using zones = await startZones();
        const { beside, deployment, other } = zones;
        await evacuate(deployment, "zone-a");
        other.setBehaviour("reset");
        expect((await call(deployment, "/safe/")).status).toEqual(502);
        expect(beside.countArrivals()).toEqual(0);
    });

    // Guards against requests that wait for their deadline although all zones are evacuated.
    it("has its requests refused at once if no other one is left", async () => {
        await using zones = await startZones();
        const { deployment } = zones;
        await evacuate(deployment, "zone-a");
        await evacuate(deployment, "zone-b");
        const { headers, status } = await call(deployment, "/unsafe/");
        expect([status, Number(headers["retry-after"]) > 0]).toEqual([503, true]);
        const refused = deployment.logLines.map(line => JSON.parse(line) as Record<string, unknown>)
            .filter(line => line["msg"] === "admission decision" && line["reason"] === "evacuated");
        // An eighth of the target latency of the route.
        expect(refused.map(line => Number(line["waited"]) <= 1_000 / 8)).toEqual([true]);
    });

    // Guards against a gateway that sends requests to the zone after its own restart.
    it("gets no request from a gateway that starts", async () => {
        await using zones = await startZones();
        const { beside, deployment } = zones;
        await evacuate(deployment, "zone-a");
        const started = await deployment.addGateway("gateway-2", {
            "gateway.zoneRegions": "zone-a:south,zone-b:south",
        });
        const answers = await callAtRate(started, { path: "/safe/", rate: 40, duration: 500 });
        expect(answers.every(({ status }) => status === 200)).toEqual(true);
        expect(beside.countArrivals()).toEqual(0);
    });
});
