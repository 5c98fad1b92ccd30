import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";
import { type EndlessPart, startEndlessRunner } from "./standIn/endlessRunner.js";
import { startHttpStandIn } from "./standIn/httpStandIn.js";
import type { RunnerBehaviour } from "./standIn/runnerStandIn.js";

describe("gateway before a backend server that sends bytes without end", () => {
    // Guards against requests that wait for the end of such an answer while another backend server is idle.
    const cases: readonly (readonly [RunnerBehaviour, string])[] = [
        ["endless-refusal", "/safe/"],
        ["endless-refusal", "/stream/"],
        ["endless-event", "/stream/"],
    ];
    for (const [behaviour, path] of cases) {
        it(`goes on to a sound one: ${behaviour} on ${path}`, async () => {
            await using deployment = await startDeployment({ "routing.failuresUntilEjected": "100" });
            const events = path === "/stream/" ? { events: 2 } : {};
            const endless = await deployment.addRunner({ id: "i-1", ...events });
            await deployment.addRunner({ id: "i-2", ...events });
            endless.behave(behaviour);
            const startedAt = Date.now();
            const answers = await Promise.all(Array.from({ length: 8 }, () => call(deployment, path)));
            expect(answers.map(({ complete, status }) => [status, complete])).toEqual(answers.map(() => [200, true]));
            // The route's time is 1.5 s.
            expect(Date.now() - startedAt).toBeLessThan(1_000);
            expect(endless.countArrivals()).toBeGreaterThan(0);
        });
    }
});

describe("gateway before a backend server whose answers do not end", () => {
    // Guards against requests that wait until the time of their route is over for the rest of such an answer.
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
    ];
    for (const [part, path] of cases) {
        it(`answers from a sound one within the time of the route: ${part} on ${path}`, async () => {
            await using deployment = await startDeployment();
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.listRunner("i-1", endless.address);
            await deployment.addRunner({ id: "i-2", ...(path === "/stream/" ? { events: 2 } : {}) });
            const answers = await Promise.all(Array.from({ length: 8 }, () => call(deployment, path)));
            expect(answers.map(({ complete, status }) => [status, complete])).toEqual(answers.map(() => [200, true]));
            expect(endless.countRequests()).toBeGreaterThan(0);
        });
    }
});

describe("gateway before a backend server whose answer takes most of the time of the route", () => {
    // Guards against sound answers that are given up although no other backend server can answer.
    it("reads it to its end if there is no other", async () => {
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
        await deployment.listRunner("i-1", slow.address);
        const { body, complete, status } = await call(deployment, "/safe/");
        expect([status, complete, body]).toEqual([200, true, "part;".repeat(10)]);
    });
});

describe("gateway before a backend server whose answers never begin or never go on", () => {
    // Guards against requests that wait until the time of their route is over for bytes that cannot become an answer.
    for (const part of ["status-line", "interim-answers", "chunk-extension", "trailers"] as const) {
        it(`fails a request that may not be repeated at once: ${part}`, async () => {
            await using deployment = await startDeployment({ "routing.failuresUntilEjected": "100" });
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.listRunner("i-1", endless.address);
            const startedAt = Date.now();
            const answers = await Promise.all(Array.from({ length: 4 }, () => call(deployment, "/unsafe/")));
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 502));
            // The route's time is 1.5 s.
            expect(Date.now() - startedAt).toBeLessThan(1_000);
        });
    }
});

describe("gateway before a backend server that sends events without end", () => {
    // Guards against events that are passed on after the end of the request, and hold up all others meanwhile.
    for (const part of ["events", "comments"] as const) {
        it(`ends the stream with the time of its route: ${part}`, async () => {
            await using deployment = await startDeployment();
            const endless = deployment.stack.use(await startEndlessRunner(part));
            await deployment.listRunner("i-1", endless.address);
            const startedAt = Date.now();
            const answers = await Promise.all(Array.from({ length: 4 }, () => call(deployment, "/stream/")));
            expect(answers.map(({ complete }) => complete)).toEqual(answers.map(() => false));
            // The route's time is 1.5 s.
            expect(Date.now() - startedAt).toBeLessThan(2_500);
        });
    }
});
