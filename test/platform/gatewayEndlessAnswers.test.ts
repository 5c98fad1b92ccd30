import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment } from "./standIn/deployment.js";
import { type EndlessPart, startEndlessRunner } from "./standIn/endlessRunner.js";
import { startHttpStandIn } from "./standIn/httpStandIn.js";
import type { RunnerBehaviour } from "./standIn/runnerStandIn.js";

describe("gateway with a backend server that sends an endless refusal or event", () => {
    // Guards against requests that wait for the end of such an answer while another backend server is idle.
    const cases: readonly (readonly [RunnerBehaviour, string])[] = [
        ["endless-refusal", "/safe/"],
        ["endless-refusal", "/stream/"],
        ["endless-event", "/stream/"],
    ];
    for (const [behaviour, path] of cases) {
        it(`retries at a healthy one: ${behaviour} on ${path}`, async () => {
            await using deployment = await startDeployment({ "routing.failuresUntilEjected": "100" });
            const events = path === "/stream/" ? { events: 2 } : {};
            const endless = await deployment.addRunner({ id: "i-1", ...events });
            await deployment.addRunner({ id: "i-2", ...events });
            endless.setBehaviour(behaviour);
            const startedAt = Date.now();
            const answers = await Promise.all(Array.from({ length: 8 }, () => call(deployment, path)));
            expect(answers.map(({ complete, status }) => [status, complete])).toEqual(answers.map(() => [200, true]));
            // The route's time is 1.5 s.
            expect(Date.now() - startedAt).toBeLessThan(1_000);
            expect(endless.countArrivals()).toBeGreaterThan(0);
        });
    }
});

describe("gateway with a backend server whose answers do not end", () => {
    // Guards against requests that wait for the rest of such an answer until the timeout of their route.
    const cases: readonly (readonly [EndlessPart, string])[] = [
        ["status-line", "/safe/"],
        ["fields", "/safe/"],
        ["slow-fields", "/safe/"],
        ["interim-answers", "/safe/"],
        ["body-until-close", "/safe/"],
        ["chunks", "/safe/"],
        ["slow-body", "/safe/"],
        ["slow-body", "/stream/"],
        ["chunk-extension", "/safe/"],
        ["trailers", "/safe/"],
        ["slow-trailers", "/stream/"],
        ["blank-lines", "/stream/"],
        ["comments", "/stream/"],
    ];
    for (const [part, path] of cases) {
        it(`returns the answer of a healthy one within the route timeout: ${part} on ${path}`, async () => {
            await using deployment = await startDeployment();
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.addRunnerRecord("i-1", endless.address);
            await deployment.addRunner({ id: "i-2", ...(path === "/stream/" ? { events: 2 } : {}) });
            const answers = await Promise.all(Array.from({ length: 8 }, () => call(deployment, path)));
            expect(answers.map(({ complete, status }) => [status, complete])).toEqual(answers.map(() => [200, true]));
            expect(endless.countRequests()).toBeGreaterThan(0);
        });
    }
});

describe("gateway with a backend server whose answer takes most of the route timeout", () => {
    // Guards against valid answers that are abandoned although no other backend server can answer.
    it("reads the answer to its end if there is no other backend server", async () => {
        await using deployment = await startDeployment();
        const slow = deployment.stack.use(
            await startHttpStandIn(async (request, response) => {
                response.writeHead(200, {
                    "attempt-id": String(request.headers["attempt-id"]),
                    "response-seal": "3e1b.07.5a2.600.0.c9f2a4d1",
                });
                for (let part = 0; part < 10; part++) {
                    response.write("part;");
                    await new Promise(resolve => setTimeout(resolve, 110));
                }
                response.end();
            }),
        );
        await deployment.addRunnerRecord("i-1", slow.address);
        const { body, complete, status } = await call(deployment, "/safe/");
        expect([status, complete, body]).toEqual([200, true, "part;".repeat(10)]);
    });
});

describe("gateway with a backend server whose answers never begin or never continue", () => {
    // Guards against requests that wait until the timeout of their route for bytes that cannot become an answer.
    for (const part of ["status-line", "interim-answers", "chunk-extension", "trailers"] as const) {
        it(`immediately fails a request that must not be retried: ${part}`, async () => {
            await using deployment = await startDeployment({ "routing.failuresUntilEjected": "100" });
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.addRunnerRecord("i-1", endless.address);
            const startedAt = Date.now();
            const answers = await Promise.all(Array.from({ length: 4 }, () => call(deployment, "/unsafe/")));
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 502));
            // The route's time is 1.5 s.
            expect(Date.now() - startedAt).toBeLessThan(1_000);
        });
    }
});

describe("gateway with a backend server that sends events without end", () => {
    // Guards against events that are relayed after the deadline of the request and delay all other requests.
    for (const part of ["events", "comments"] as const) {
        it(`ends the stream at the route timeout: ${part}`, async () => {
            await using deployment = await startDeployment();
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.addRunnerRecord("i-1", endless.address);
            const startedAt = Date.now();
            const answers = await Promise.all(Array.from({ length: 4 }, () => call(deployment, "/stream/")));
            expect(answers.map(({ complete }) => complete)).toEqual(answers.map(() => false));
            // The route's time is 1.5 s.
            expect(Date.now() - startedAt).toBeLessThan(2_500);
        });
    }
});

describe("gateway with a backend server that sends a chunk for each byte", () => {
    // Guards against a process that stands still for seconds, so that requests to other services get no answer in time.
    for (const part of ["single-byte-chunks", "blank-lines", "comments"] as const) {
        it(`answers requests to other services meanwhile: ${part}`, async () => {
            await using deployment = await startDeployment({ "routing.failuresUntilEjected": "100" });
            const [plain] = operatorConfiguration.services;
            deployment.configure({
                version: 2,
                routes: operatorConfiguration.routes.map(route =>
                    route.name === "stream" ? { ...route, service: "engine" } : route
                ),
                services: [plain, { ...plain, name: "engine" }],
            });
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.addRunnerRecord("i-1", endless.address, { service: "engine" });
            await deployment.addRunner({ id: "i-2" });
            let stopped = false;
            const streams = Array.from({ length: 4 }, async () => {
                while (!stopped) {
                    await call(deployment, "/stream/").catch(() => undefined);
                }
            });
            const slow: number[] = [];
            const statuses: number[] = [];
            for (let count = 0; count < 100; count++) {
                const startedAt = performance.now();
                const { status } = await call(deployment, "/safe/");
                statuses.push(status);
                slow.push(...[performance.now() - startedAt].filter(took => took > 500));
                await new Promise(resolve => setTimeout(resolve, 20));
            }
            stopped = true;
            await Promise.all(streams);
            expect(endless.countRequests()).toBeGreaterThan(0);
            expect([statuses.filter(status => status !== 200), slow]).toEqual([[], []]);
        });
    }
});
