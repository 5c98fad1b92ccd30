import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    beginWork,
    computeExpectedTimes,
    computeRequestCost,
    computeSlowdown,
    createServerSpeed,
    createServerWork,
    endWork,
    progressWork,
    recordRatio,
    recordSlowdown,
    type RequestCost,
    type ServerLoad,
} from "../../../src/runtime/cost/index.js";
import type { EngineTiming } from "../../../src/types/index.js";

const timing: EngineTiming = {
    stepTime: 9,
    stepTimePerRequest: 0.02,
    stepTimePerThousandTokens: 0.1,
    promptTokensPerSecond: 20_000,
    timePerMillionPairs: 5,
    passTokens: 512,
    stepsPerPass: 5,
    memoryTokens: 20_000,
};
const usual = { promptTokens: 800, outputTokens: 110 };
const slots = 12;

function createCost(promptTokens = 800, outputTokens = 110): RequestCost {
    return computeRequestCost({ slots, timing }, { promptTokens, outputTokens }, usual)!;
}

function createLoad(changes: Partial<ServerLoad> = {}): ServerLoad {
    return { own: 0, work: undefined, others: 0, othersWaiting: 0, reportAge: 100, slowdown: 1, ...changes };
}

function computeFirstEvent(load: Partial<ServerLoad>, cost = createCost()): number {
    return computeExpectedTimes(cost, createLoad(load)).firstEvent;
}

describe("expected time to the first event", () => {
    // Guards against an estimate that does not agree with an idle engine: it reads the prompt and executes a pass.
    it("is the time of the prompt and of a pass at an idle engine", () => {
        const firstPass = 5 * 9;
        expect(computeFirstEvent({})).toBeBetween(40 + firstPass, 40 + firstPass * 3.5);
    });

    // Guards against a choice of the busier one of two servers.
    const longer: readonly (readonly [string, Partial<ServerLoad>, Partial<ServerLoad>])[] = [
        ["others run there", {}, { others: 4 }],
        ["others wait there", { others: 4 }, { others: 4, othersWaiting: 2 }],
        ["the slots are in use", { others: 10 }, { others: 16 }],
        ["it is slower", { others: 4 }, { others: 4, slowdown: 2 }],
    ];
    for (const [name, idle, busy] of longer) {
        it(`is longer where ${name}`, () => {
            expect(computeFirstEvent(busy) > 1.05 * computeFirstEvent(idle)).toEqual(true);
        });
    }

    // Guards against counting requests instead of their work: a long prompt delays others more than two short ones.
    it("is longer behind a single long prompt than behind two short ones", () => {
        const behind = (prompts: readonly number[]) => {
            const work = createServerWork();
            prompts.forEach(tokens => beginWork(work, createCost(tokens)));
            return computeFirstEvent({ own: prompts.length, work });
        };
        expect(behind([6_000]) > behind([400, 400])).toEqual(true);
    });

    // Guards against a prompt that counts as read before the first event shows it, or afterwards.
    it("falls with the first event of the request ahead", () => {
        const work = createServerWork();
        const attempt = beginWork(work, createCost(4_000));
        const before = computeFirstEvent({ own: 1, work });
        progressWork(work, attempt, 5, 400);
        expect(before - computeFirstEvent({ own: 1, work })).toBeBetween(200, 600);
    });

    // Guards against a request because of which the engine would preempt what it runs.
    it("does not fit where the memory would be exceeded", () => {
        const fits = (others: number) => computeExpectedTimes(createCost(), createLoad({ others })).fits;
        expect([fits(10), fits(30)]).toEqual([true, false]);
    });

    // Guards against infinite or undefined times at any load.
    it("is positive and finite at any load", () => {
        const count = fastCheck.integer({ min: 0, max: 500 });
        fastCheck.assert(
            fastCheck.property(count, count, fastCheck.integer({ min: 1, max: 200_000 }), (own, others, prompt) => {
                const times = computeExpectedTimes(createCost(prompt), createLoad({ own, others }));
                expect(times.firstEvent > 0 && times.end >= times.firstEvent).toEqual(true);
                expect(Number.isFinite(times.end) && Number.isFinite(times.remainingWork)).toEqual(true);
            }),
        );
    });

    // Guards against figures out of range that make the estimate undefined or negative.
    const unusable: readonly Partial<EngineTiming>[] = [
        { stepTime: 0 },
        { promptTokensPerSecond: NaN },
        { passTokens: 0 },
        { stepTimePerRequest: -1 },
        { memoryTokens: 0 },
    ];
    for (const changes of unusable) {
        it(`is not known with ${JSON.stringify(changes)}`, () => {
            const engine = { slots, timing: { ...timing, ...changes } };
            expect(computeRequestCost(engine, usual, usual)).toEqual(undefined);
        });
    }
});

describe("work at a backend server", () => {
    // Guards against work that remains after its attempts have ended, which would keep the server from being selected.
    it("is empty once all attempts have ended, in any order", () => {
        const steps = fastCheck.array(fastCheck.tuple(fastCheck.nat(9), fastCheck.nat(40)), { maxLength: 30 });
        fastCheck.assert(fastCheck.property(steps, events => {
            const work = createServerWork();
            const attempts = [...Array(10).keys()].map(index => beginWork(work, createCost(800 + index, 100 / 3)));
            for (const [index, tokens] of events) {
                progressWork(work, attempts[index]!, tokens, 200);
                expect(work.outputTokens >= 0 && work.unreadTokens >= 0).toEqual(true);
            }
            attempts.reverse().forEach(attempt => endWork(work, attempt));
            expect(work).toEqual(createServerWork());
        }));
    });

    // Guards against a stream that counts as nearly complete although it is longer than expected.
    it("expects a long stream to go on, up to its maximum", () => {
        const work = createServerWork();
        const attempt = beginWork(work, createCost(800, 100));
        const left = [40, 40, 120, 80, 40].map(tokens => {
            progressWork(work, attempt, tokens, 320);
            return work.outputTokens;
        });
        expect(left).toEqual([60, 40, 100, 40, 0]);
    });
});

describe("speed of a backend server", () => {
    // Guards against a server that misreports its speed, and against a statement that lasts forever.
    it("is bounded, ignores what is no speed, and returns to the usual one", () => {
        const speed = createServerSpeed();
        [0, -1, NaN, Infinity].forEach(slowdown => recordSlowdown(speed, slowdown, 0));
        expect(computeSlowdown(speed, 0)).toEqual({ stated: 1, total: 1 });
        recordSlowdown(speed, 1_000_000, 0);
        expect(computeSlowdown(speed, 0).stated).toBeBetween(3.99, 4.01);
        expect(computeSlowdown(speed, 200_000).stated).toBeBetween(1, 1.01);
        recordSlowdown(speed, 0.000_1, 200_000);
        expect(computeSlowdown(speed, 200_000).stated).toBeBetween(0.249, 0.26);
    });

    // Guards against a server that states that it is fast and is slow.
    it("is corrected by observed times", () => {
        const speed = createServerSpeed();
        recordSlowdown(speed, 0.25, 0);
        for (let index = 0; index < 50; index++) {
            recordRatio(speed, Math.log(8), 0);
        }
        expect(computeSlowdown(speed, 0).total).toBeBetween(0.9, 1.1);
    });
});
