import { expect } from "earl";
import { once } from "node:events";
import { request as sendRequest } from "node:http";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { call, callWithHttp10 } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { RunnerBehaviour } from "./standIn/runnerStandIn.js";

/** Sends a request and closes the connection before the gateway has read it. */
async function disconnectAtOnce({ gatewayUrl }: TestDeployment, method: string, path: string): Promise<void> {
    const { hostname, port } = new URL(gatewayUrl);
    const socket = connect({ host: hostname, port: Number(port) });
    await once(socket, "connect");
    socket.write([
        `${method} ${path} HTTP/1.1`,
        "host: members.example",
        "attempt-id: left",
        "authorization: Token key-1",
        "content-length: 0",
        "\r\n",
    ].join("\r\n"));
    socket.destroy();
}

describe("gateway on the platform", () => {
    it("forwards a request with the account in place of the key, and returns the answer unchanged", async () => {
        await using deployment = await startDeployment();
        const runner = await deployment.addRunner({ id: "i-1" });
        const answer = await call(deployment, "/unsafe/x?y=1", {
            method: "POST",
            body: "text",
            headers: { tenant: "forged", "x-other": "kept", "deadline-ms": "1000", "expect-instance": "i-9" },
        });
        expect([answer.status, answer.body]).toEqual([200, "i-1:text"]);
        expect(answer.headers["response-seal"] !== undefined).toEqual(true);
        const [run] = runner.runs;
        expect([run!.path, run!.headers["tenant"], run!.headers["x-other"]]).toEqual([
            "/unsafe/x?y=1",
            "family",
            "kept",
        ]);
        expect(run!.headers.authorization).toEqual(undefined);
        const remaining = Number(run!.headers["deadline-ms"]);
        expect(remaining > 500 && remaining <= 1_000).toEqual(true);
    });

    it("refuses what the configuration does not allow", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        const statuses = await Promise.all([
            call(deployment, "/other/"),
            call(deployment, "/safe/", { headers: { authorization: "Token key-9" } }),
            call(deployment, "/safe/", { method: "POST", body: "x".repeat(1_001) }),
        ]);
        expect(statuses.map(({ status }) => status)).toEqual([404, 401, 413]);
    });

    const unsafeOutcomes: readonly (readonly [RunnerBehaviour, number])[] = [
        ["shed", 503],
        ["error", 500],
        ["reset", 502],
        ["truncate", 502],
        ["unframed", 200],
        ["unframed-reset", 502],
        ["foreign", 502],
        ["unsealed", 502],
        ["unexplained-503", 502],
        ["silent", 504],
    ];
    for (const [behaviour, status] of unsafeOutcomes) {
        it(`answers ${status} to an unsafe request when the runner's answer is: ${behaviour}`, async () => {
            await using deployment = await startDeployment();
            const runners = [await deployment.addRunner({ id: "i-1" }), await deployment.addRunner({ id: "i-2" })];
            runners.forEach(runner => runner.setBehaviour(behaviour));
            const answer = await call(deployment, "/unsafe/", { method: "POST" });
            expect(answer.status).toEqual(status);
            expect(runners.reduce((sum, runner) => sum + runner.countArrivals(), 0)).toEqual(1);
            expect(status !== 503 || Number(answer.headers["retry-after"]) > 0).toEqual(true);
        });
    }

    for (
        const behaviour of [
            "shed",
            "error",
            "reset",
            "truncate",
            "unframed-reset",
            "foreign",
            "unsealed",
            "silent",
        ] as const
    ) {
        it(`retries a safe request at another runner when the first answer is: ${behaviour}`, async () => {
            await using deployment = await startDeployment();
            const [bad, good] = [await deployment.addRunner({ id: "i-1" }), await deployment.addRunner({ id: "i-2" })];
            bad.setBehaviour(behaviour);
            for (let index = 0; index < 4; index++) {
                const answer = await call(deployment, "/safe/");
                expect([answer.status, answer.body]).toEqual([200, "i-2:"]);
            }
            expect(good.runs.length).toEqual(4);
        });
    }

    it("resumes a broken stream at another runner without losing or repeating an event", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1", events: 6, breakAfter: 3 }, { slots: 100 });
        await deployment.addRunner({ id: "i-2", events: 6 }, { state: "draining" });
        const broken = await call(deployment, "/stream/");
        expect([broken.status, broken.complete]).toEqual([200, false]);
        const entry = { service: "archive", zone: "zone-a", slots: 4, state: "ready", born: 1 };
        const second = await deployment.addRunner({ id: "i-3", events: 6 }, entry);
        let resumed = 0;
        for (let index = 0; index < 8; index++) {
            const answer = await call(deployment, "/stream/");
            const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
            expect([answer.complete, ids]).toEqual([true, [1, 2, 3, 4, 5, 6]]);
            resumed += answer.body.includes("i-1") ? 1 : 0;
        }
        expect(second.runs.some(run => run.headers["last-event-id"] === "3")).toEqual(resumed > 0);
    });

    it("closes an unchunked stream in order only if it is complete", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1", events: 3 });
        const whole = await callWithHttp10(deployment, "/stream/");
        expect([whole.ending, whole.text.endsWith("id: 3\ndata: i-1\n\n")]).toEqual(["closed", true]);
        await using breaking = await startDeployment();
        await breaking.addRunner({ id: "i-1", events: 6, breakAfter: 3 });
        const broken = await callWithHttp10(breaking, "/stream/");
        expect(broken.text.startsWith("HTTP/1.1 200")).toEqual(true);
        expect(broken.ending).toEqual("reset");
    });

    it("resets an unchunked stream that it cuts off at its own shutdown", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1", events: 500, eventMilliseconds: 10 });
        const cut = callWithHttp10(deployment, "/stream/");
        await new Promise(resolve => setTimeout(resolve, 200));
        await deployment[Symbol.asyncDispose]();
        const { ending, text } = await cut;
        expect([text.startsWith("HTTP/1.1 200"), ending]).toEqual([true, "reset"]);
    });

    it("resumes a stream that breaks after the time within which it had to begin", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1", events: 5, breakAfter: 3, eventMilliseconds: 250 }, { slots: 100 });
        await deployment.addRunner({ id: "i-2", events: 5 });
        for (let index = 0; index < 4; index++) {
            const answer = await call(deployment, "/stream/");
            expect([answer.complete, answer.body.match(/^id: /gm)?.length]).toEqual([true, 5]);
        }
    });

    it("cancels the request at the runner when the caller disconnects", async () => {
        await using deployment = await startDeployment();
        const runner = await deployment.addRunner({ id: "i-1", events: 1_000, eventMilliseconds: 20 });
        const request = sendRequest(`${deployment.gatewayUrl}/stream/`, {
            headers: { host: "members.example", "attempt-id": "left", authorization: "Token key-1" },
        }, response => {
            response.once("data", () => request.destroy());
        });
        request.on("error", () => {});
        request.end();
        await waitUntil("the run is canceled", () => runner.runs[0]?.canceled === true);
    });

    for (const [method, path] of [["GET", "/safe/"], ["POST", "/unsafe/"], ["GET", "/stream/"]] as const) {
        it(`does not forward a request whose caller disconnected before it was read: ${method} ${path}`, async () => {
            await using deployment = await startDeployment();
            const runner = await deployment.addRunner({ id: "i-1" });
            // Opens the connection to the runner. Opening it later takes longer than noticing the disconnect, which
            // would hide the fault.
            await call(deployment, "/safe/");
            for (let index = 0; index < 5; index++) {
                await disconnectAtOnce(deployment, method, path);
                await call(deployment, "/safe/");
            }
            expect(runner.runs.filter(({ attemptId }) => attemptId === "left").length).toEqual(0);
            const routed = deployment.logLines.filter(line => line.includes("\"msg\":\"routing decision\""));
            expect(routed.some(line => line.includes("\"requestId\":\"attempt-"))).toEqual(true);
            expect(routed.some(line => line.includes("\"requestId\":\"left\""))).toEqual(false);
        });
    }

    it("sends no requests to a runner that is draining or no longer listed", async () => {
        await using deployment = await startDeployment();
        const [first, second] = [await deployment.addRunner({ id: "i-1" }), await deployment.addRunner({ id: "i-2" })];
        deployment.store.write("keyed.servers", "i-1", {
            service: "archive",
            address: first.address,
            zone: "zone-a",
            slots: 4,
            state: "draining",
            born: 1,
        });
        await waitUntil("the list was read", async () => {
            const before = first.countArrivals();
            for (let index = 0; index < 6; index++) {
                await call(deployment, "/safe/");
            }
            return first.countArrivals() === before;
        });
        deployment.store.drop("keyed.servers", "i-2");
        await waitUntil("both are gone", async () => (await call(deployment, "/safe/")).status === 503);
        expect(second.runs.length > 0).toEqual(true);
    });

    it("ignores entries that cannot be read", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        deployment.store.writeBytes("keyed.servers", "i-7", Buffer.of(0xFF, 0x01));
        deployment.store.write("keyed.servers", "i-8", { service: "archive", state: "resting", address: 7 });
        await new Promise(resolve => setTimeout(resolve, 600));
        expect((await call(deployment, "/safe/")).status).toEqual(200);
    });

    it("applies a new configuration, and does not return to an older one", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        const moved = operatorConfiguration.routes.map(route => ({ ...route, host: "moved.example" }));
        deployment.configure({ version: 5, routes: moved });
        await waitUntil("the old host is gone", async () => (await call(deployment, "/safe/")).status === 404);
        deployment.configure({ version: 3 });
        await new Promise(resolve => setTimeout(resolve, 300));
        expect((await call(deployment, "/safe/")).status).toEqual(404);
        expect((await call(deployment, "/safe/", { headers: { host: "moved.example" } })).status).toEqual(200);
    });

    for (const fault of ["busy", "many", "reset", "silent"] as const) {
        it(`keeps serving while the store fails, and then follows it again: ${fault}`, async () => {
            await using deployment = await startDeployment();
            await deployment.addRunner({ id: "i-1" });
            deployment.store.setFault(fault);
            await new Promise(resolve => setTimeout(resolve, 300));
            expect((await call(deployment, "/safe/")).status).toEqual(200);
            deployment.store.setFault("none");
            deployment.configure({ version: 9, tenants: [] });
            await waitUntil("the key is refused", async () => (await call(deployment, "/safe/")).status === 401);
        });
    }

    it("follows the store after its history was compacted", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        deployment.store.write("keyed.op", "version/x", { model: "x", version: 1 });
        deployment.configure({ version: 4 });
        deployment.store.compact("keyed.op");
        deployment.configure({ version: 7, tenants: [] });
        await waitUntil("the key is refused", async () => (await call(deployment, "/safe/")).status === 401);
    });

    it("reports that it is not ready, and finishes requests in progress, when it shuts down", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1", events: 30, eventMilliseconds: 20 });
        const running = call(deployment, "/stream/");
        await new Promise(resolve => setTimeout(resolve, 100));
        const drained = deployment.drain();
        expect((await fetch(deployment.readyUrl)).status).toEqual(503);
        const late = await call(deployment, "/stream/");
        expect([late.complete, late.headers["connection"]]).toEqual([true, "close"]);
        const answer = await running;
        expect([answer.complete, answer.body.includes("id: 30")]).toEqual([true, true]);
        await drained;
    });
});
