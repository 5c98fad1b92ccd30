import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type CostedRequest,
    createRemainingWork,
    type RemainingWork,
} from "../../../src/node/gateway/selection/remainingWork.js";
import { computeSlowdown } from "../../../src/runtime/cost/index.js";
import { createRunnerRow } from "../../../src/runtime/routing/index.js";
import { createManualClock } from "../../../src/utils/index.js";

const timing = {
    stepTime: 9,
    stepTimePerRequest: 0,
    stepTimePerThousandTokens: 0,
    promptTokensPerSecond: 20_000,
    timePerMillionPairs: 0,
    passTokens: 512,
    stepsPerPass: 5,
    usual: { promptTokens: 800, outputTokens: 100 },
};

function createRequest(changes: Partial<CostedRequest["call"]> = {}, engine: object = { slots: 12, timing }) {
    return {
        call: { promptTokens: 1_000, maximumOutputTokens: 400, ...changes },
        route: { name: "engrave", kind: "streaming" },
        service: { name: "engraver", engine },
    } as unknown as CostedRequest;
}

function createServer() {
    return { runner: createRunnerRow("engraver", { instance: "i-1", zone: "a", region: "a" }) };
}

const clock = createManualClock();
const metrics = { recordFirstEvent: () => {} };

function createWork(costAware = true): RemainingWork {
    return createRemainingWork({ clock, costAware, metrics });
}

function runAttempt(
    work: RemainingWork,
    server: ReturnType<typeof createServer>,
    events: number,
    delay: number,
    complete = true,
) {
    const cost = work.estimate(createRequest())!;
    const firstEvent = 100 * computeSlowdown(server.runner.speed, clock.monotonic()).total;
    const expected = { firstEvent, slotWait: 0, end: 1_000, cost: 100, remainingWork: 0, fits: true };
    const tracked = work.begin(server, createRequest(), { cost, expected, continues: false });
    clock.advance(delay);
    for (let index = 0; index < events; index++) {
        tracked.recordEvent();
    }
    tracked.end(complete);
    tracked.end(complete);
}

describe("remaining work", () => {
    // Guards against a change of routing where it is off, or where the timing of the engine is not stated.
    it("is not known unless routing by cost is on and the timing is stated", () => {
        expect(createWork(false).estimate(createRequest())).toEqual(undefined);
        expect(createWork().estimate(createRequest({}, { slots: 12 }))).toEqual(undefined);
        expect(createWork().estimate({ ...createRequest(), service: { engine: undefined } } as never)).toEqual(
            undefined,
        );
        const server = createServer();
        createWork(false).recordSlowdown(server, createRequest().service, 2);
        createWork().recordSlowdown(server, createRequest({}, { slots: 12 }).service, 2);
        expect(server.runner.speed).toEqual(undefined);
    });

    // Guards against work that stays on a server after its attempt, also if its end is noticed twice.
    it("of a server falls with the progress of its streams, and ends with them", () => {
        const work = createWork();
        const server = createServer();
        const cost = work.estimate(createRequest())!;
        const tracked = work.begin(server, createRequest(), { cost, expected: undefined, continues: false });
        expect([server.runner.work!.unreadTokens, Math.round(server.runner.work!.outputTokens)]).toEqual([1_000, 100]);
        tracked.recordEvent();
        expect([server.runner.work!.unreadTokens, Math.round(server.runner.work!.outputTokens)]).toEqual([0, 95]);
        tracked.end(false);
        tracked.end(false);
        tracked.recordEvent();
        expect(server.runner.work!.requests).toEqual(0);
        expect(server.runner.work!.outputTokens).toEqual(0);
    });

    // Guards against lengths of answers that were broken off or not seen from their beginning.
    it("learns lengths from complete answers only", () => {
        const work = createWork();
        const server = createServer();
        for (let index = 0; index < 60; index++) {
            runAttempt(work, server, 2, 100, false);
        }
        expect(Math.round(work.estimate(createRequest())!.outputTokens)).toEqual(100);
        for (let index = 0; index < 60; index++) {
            runAttempt(work, server, 2, 100);
        }
        expect(work.estimate(createRequest())!.outputTokens).toBeBetween(8, 20);
    });

    // Guards against requests that go on to a slow server as to any other, and against an error that all servers share.
    it("tells a slow server from others, not a service of which all are slow", () => {
        const work = createWork();
        const [usual, slow] = [createServer(), createServer()];
        for (let index = 0; index < 100; index++) {
            runAttempt(work, usual, 2, 200);
            runAttempt(work, slow, 2, 600);
        }
        const factor = (server: ReturnType<typeof createServer>) =>
            computeSlowdown(server.runner.speed, clock.monotonic()).total;
        expect(factor(slow) / factor(usual)).toBeBetween(2, 3.3);
        expect(factor(slow) * factor(usual)).toBeBetween(0.6, 1.6);
    });
});
