import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import type { RunnerStandIn } from "./standIn/runnerStandIn.js";

/** Time in milliseconds after a refusal within which requests that were on their way may still arrive. */
const inFlight = 500;

function countBetween({ arrivedAt }: RunnerStandIn, from: number, to: number): number {
    return arrivedAt.filter(at => at > from && at < to).length;
}

describe("backend server that turns requests away and states for how long", () => {
    for (const path of ["/safe/", "/unsafe/", "/stream/"]) {
        // Guards against refused requests, and further requests to the busy backend server, while another one is idle.
        it(`gets no requests to ${path} during that time, and another one answers`, async () => {
            await using deployment = await startDeployment();
            const events = path === "/stream/" ? { events: 3 } : {};
            const busy = await deployment.addRunner({ id: "i-1", ...events });
            await deployment.addRunner({ id: "i-2", ...events });
            busy.setBehaviour("turn-away");
            const startedAt = performance.now();
            const answers = await callAtRate(deployment, { path, rate: 40, duration: 2_000 });
            const firstAt = busy.arrivedAt.find(at => at >= startedAt)!;
            expect(answers.filter(({ status }) => status !== 200).length).toEqual(0);
            expect(countBetween(busy, firstAt + inFlight, firstAt + 2_000) <= 2).toEqual(true);
        });
    }

    // Guards against many requests that are sent at the end of the pause and are all turned away again.
    it("gets a single trial request when the time is over", async () => {
        await using deployment = await startDeployment();
        const busy = await deployment.addRunner({ id: "i-1" });
        await deployment.addRunner({ id: "i-2" });
        busy.setBehaviour("turn-away");
        busy.setRetryAfter("0.6");
        const startedAt = performance.now();
        await callAtRate(deployment, { path: "/safe/", rate: 60, duration: 1_100 });
        const first = busy.arrivedAt.find(at => at >= startedAt)!;
        expect(countBetween(busy, first + inFlight, first + 1_100)).toEqual(1);
        busy.setBehaviour("answer");
        await sleep(700);
        const before = busy.countArrivals();
        await callAtRate(deployment, { path: "/safe/", rate: 60, duration: 500 });
        expect(busy.countArrivals() - before > 5).toEqual(true);
    });

    // Guards against callers who are asked to retry while their backend servers still accept no requests.
    it("makes callers retry after that time if it is the only one", async () => {
        await using deployment = await startDeployment({ "admission.maximumRetryAfterSeconds": "2" });
        const busy = await deployment.addRunner({ id: "i-1" });
        busy.setBehaviour("turn-away");
        busy.setRetryAfter("3");
        await call(deployment, "/safe/");
        const toldAt = performance.now();
        const answers = await callAtRate(deployment, { path: "/safe/", rate: 40, duration: 500 });
        const elapsed = (performance.now() - toldAt) / 1_000;
        const times = answers.map(({ headers }) => Number(headers["retry-after"]));
        expect(answers.every(({ status }) => status === 503)).toEqual(true);
        expect(times.every(time => time >= 3 - elapsed && time <= 5.5)).toEqual(true);
        expect(new Set(times).size > 5).toEqual(true);
        expect(busy.countArrivals()).toEqual(1);
    });

    for (const text of ["-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "", "0"]) {
        // Guards against a backend server that gets no more requests because of a header without a valid time.
        it(`gets requests again if the time is "${text}"`, async () => {
            await using deployment = await startDeployment();
            const busy = await deployment.addRunner({ id: "i-1" });
            busy.setBehaviour("turn-away");
            busy.setRetryAfter(text);
            await call(deployment, "/unsafe/");
            busy.setBehaviour("answer");
            expect((await call(deployment, "/unsafe/")).status).toEqual(200);
        });
    }

    // Guards against a backend server that gets no requests for hours because of one header with an absurd time.
    it("gets requests again after the maximum pause", async () => {
        await using deployment = await startDeployment({ "gateway.maximumPauseMilliseconds": "1000" });
        const busy = await deployment.addRunner({ id: "i-1" });
        busy.setBehaviour("turn-away");
        busy.setRetryAfter("100000000000");
        await call(deployment, "/safe/");
        busy.setBehaviour("answer");
        expect((await call(deployment, "/safe/")).status).toEqual(503);
        await sleep(1_100);
        expect((await call(deployment, "/safe/")).status).toEqual(200);
    });

    it("gets requests immediately after a restart", async () => {
        await using deployment = await startDeployment();
        const busy = await deployment.addRunner({ id: "i-1" });
        busy.setBehaviour("turn-away");
        busy.setRetryAfter("60");
        await call(deployment, "/safe/");
        busy.setBehaviour("answer");
        await deployment.addRunnerRecord("i-1", busy.address, { born: 2 });
        expect((await call(deployment, "/safe/")).status).toEqual(200);
    });
});
