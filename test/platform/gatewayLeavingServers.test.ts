import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, waitUntil } from "./standIn/deployment.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import type { RunnerStandIn } from "./standIn/runnerStandIn.js";

/** Time in milliseconds after the first request within which further requests may already be on their way. */
const inFlight = 100;

function countLaterThan(runner: RunnerStandIn, time: number): number {
    return runner.arrivedAt.filter(at => at > time + inFlight).length;
}

describe("backend server that announces its shutdown in its answers", () => {
    for (const path of ["/safe/", "/unsafe/", "/stream/"]) {
        // Guards against requests to a backend server whose entry in the list does not show the shutdown yet.
        it(`gets no further requests to ${path}`, async () => {
            await using deployment = await startDeployment();
            const events = path === "/stream/" ? { events: 3 } : {};
            const leaving = await deployment.addRunner({ id: "i-1", ...events });
            await deployment.addRunner({ id: "i-2", ...events });
            leaving.leave();
            const startedAt = performance.now();
            const answers = await callAtRate(deployment, { path, rate: 40, duration: 1_000 });
            const firstAt = leaving.arrivedAt.find(at => at >= startedAt)!;
            expect(answers.filter(({ status }) => status !== 200).length).toEqual(0);
            expect(countLaterThan(leaving, firstAt)).toEqual(0);
        });
    }

    // Guards against a notice that is undone by the next heartbeat in the list, or by an expired entry that reappears.
    it("stays out of use when its entry changes, expires and reappears", async () => {
        await using deployment = await startDeployment();
        const leaving = await deployment.addRunner({ id: "i-1" });
        leaving.leave();
        await call(deployment, "/safe/");
        await deployment.addRunner({ id: "i-2" });
        await deployment.addRunnerRecord("i-1", leaving.address, { cold_remaining_ms: 5 });
        deployment.store.drop("keyed.servers", "i-1");
        await sleep(600);
        await deployment.addRunnerRecord("i-1", leaving.address);
        const before = leaving.countArrivals();
        await callAtRate(deployment, { path: "/safe/", rate: 40, duration: 500 });
        expect(leaving.countArrivals() - before).toEqual(0);
    });

    // Guards against a backend server that stays idle because an earlier process of the same instance shut down.
    it("is used again after a restart", async () => {
        await using deployment = await startDeployment();
        const leaving = await deployment.addRunner({ id: "i-1" });
        leaving.leave();
        await call(deployment, "/safe/");
        expect((await call(deployment, "/safe/")).status).toEqual(503);
        leaving.crash();
        const port = Number(leaving.address.split(":")[1]);
        const restarted = await deployment.addRunner({ id: "i-1", port }, { born: 2 });
        expect((await call(deployment, "/safe/")).status).toEqual(200);
        expect(restarted.countArrivals()).toEqual(1);
    });

    // Guards against a gateway that cannot read the log and learns of the shutdown only from its first failure.
    it("gets no requests from other gateways that received the notice", async () => {
        await using deployment = await startDeployment();
        const leaving = await deployment.addRunner({ id: "i-1" });
        const other = await deployment.addGateway("gateway-2");
        leaving.leave();
        await call(deployment, "/safe/");
        await waitUntil("the other gateway knows", () => other.logLines.some(line => line.includes("server notice")));
        const before = leaving.countArrivals();
        expect((await call(other, "/safe/")).status).toEqual(503);
        expect(leaving.countArrivals() - before).toEqual(0);
    });
});

describe("backend server that the list shows as draining", () => {
    // Guards against requests that have waited for one of its connections and are sent to it as soon as one is free.
    it("gets no request that was assigned to it before", async () => {
        await using deployment = await startDeployment({ "gateway.switchAfterMilliseconds": "300" });
        const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 8_000 }));
        const services = [{ ...operatorConfiguration.services[0], max_connections: 2 }];
        deployment.configure({ version: 2, routes, services });
        const isApplied = () => deployment.logLines.some(line => line.includes("\"revision\":2,"));
        await waitUntil("each has one connection", isApplied);
        const leaving = await deployment.addRunner({ id: "i-1", workMilliseconds: 3_000 });
        const headers = { "deadline-ms": "6000" };
        // Not idempotent, so that it is not also sent to the other one.
        const first = call(deployment, "/unsafe/", { headers });
        await waitUntil("it has a request", () => leaving.countArrivals() === 1);
        const silent = await deployment.addRunner({ id: "i-2" });
        silent.setBehaviour("silent");
        const second = call(deployment, "/safe/", { headers });
        await waitUntil(
            "the second request waits for its connection",
            () =>
                deployment.logLines.some(line =>
                    line.includes("routing decision") && line.includes("i-1") && line.includes("\"attempt\":2")
                ),
        );
        await deployment.addRunnerRecord("i-1", leaving.address, { state: "draining" });
        expect((await first).status).toEqual(200);
        const { status } = await second;
        expect([leaving.countArrivals(), status === 200]).toEqual([1, false]);
    });
});
