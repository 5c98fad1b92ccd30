import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    type AdmissionOptions,
    cancelRequest,
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
} from "../../../src/runtime/admission/index.js";
import type { RequestRow } from "../../../src/types/index.js";
import { createRequest } from "./requests.js";

function prepare(changes: Partial<AdmissionOptions> = {}) {
    const table = createAdmissionTable(
        resolveAdmissionOptions({ maximumInProgress: 1, maximumQueued: 10, ...changes }),
    );
    const running = createRequest({ clientAccount: "running" });
    offerRequest(table, running, 0);
    return { table, running };
}

function listStarts(table: ReturnType<typeof prepare>["table"], first: RequestRow, now = 1): string[] {
    const order: string[] = [];
    let next: RequestRow | undefined = first;
    while (next !== undefined) {
        next = finishRequest(table, next.requestId, now).start[0];
        order.push(...next === undefined ? [] : [next.requestId]);
    }
    return order;
}

describe("admission", () => {
    // Guards against starting requests in the order of their arrival.
    it("starts by priority, then deadline", () => {
        const { table, running } = prepare();
        const late = createRequest({ deadline: 9_000 });
        const early = createRequest({ deadline: 8_000 });
        const urgent = createRequest({ priority: 9, deadline: 9_500 });
        for (const request of [late, early, urgent]) {
            expect(offerRequest(table, request, 0).kind).toEqual("queue");
        }
        expect(listStarts(table, running)).toEqual([urgent, early, late].map(({ requestId }) => requestId));
    });

    // Guards against late requests that start before requests that can still meet their target.
    it("starts requests that have missed their target after the others of their priority", () => {
        const { table, running } = prepare();
        const missed = createRequest({ deadline: 8_000, missedTarget: true });
        const inTime = createRequest({ deadline: 9_000 });
        const urgent = createRequest({ deadline: 9_500, priority: 9, missedTarget: true });
        for (const request of [missed, inTime, urgent]) {
            offerRequest(table, request, 0);
        }
        expect(listStarts(table, running)).toEqual([urgent, inTime, missed].map(({ requestId }) => requestId));
    });

    // Guards against a retryAfterSeconds with the rounding error of a product, as in 1.4500000000000002.
    it("states retryAfterSeconds without rounding errors", () => {
        const { table } = prepare({ retryAfterStepSeconds: 0.05, maximumRetryAfterSeconds: 30 });
        for (let index = 0; index < 200; index++) {
            const decision = offerRequest(table, createRequest({ deadline: 1 }), 0);
            const seconds = decision.kind === "refuse" ? decision.refusal.retryAfterSeconds : 0;
            expect(String(seconds).length <= 5).toEqual(true);
        }
    });

    // Guards against late requests in the reserved slots, and against late requests that block those behind them.
    it("reserves the last slots for requests that can still meet their target", () => {
        const { table } = prepare({ maximumInProgress: 10, lateShare: 0.8 });
        const offer = (changes: Partial<RequestRow>) => offerRequest(table, createRequest(changes), 0).kind;
        for (let index = 0; index < 7; index++) {
            expect(offer({ missedTarget: true })).toEqual("start");
        }
        expect(offer({ missedTarget: true })).toEqual("queue");
        expect(offer({})).toEqual("queue");
        expect(expireRequests(table, 0).start.map(({ missedTarget }) => missedTarget)).toEqual([undefined]);
        expect([table.inProgress.size, table.queued.size]).toEqual([9, 1]);
    });

    // Guards against queueing a request that cannot meet its deadline, and against refusing one that can: with one slot
    // and a service time of 200 ms, the third request in the queue waits 600 ms.
    for (const [deadline, expected] of [[599, "refuse"], [600, "queue"]] as const) {
        it(`decides to ${expected} a request with a deadline in ${deadline} ms`, () => {
            const { table } = prepare();
            offerRequest(table, createRequest({ deadline: 550 }), 0);
            offerRequest(table, createRequest({ deadline: 550 }), 0);
            const decision = offerRequest(table, createRequest({ deadline }), 0);
            expect(decision.kind).toEqual(expected);
            if (decision.kind === "refuse") {
                expect(decision.refusal.ran).toEqual("no");
                expect(decision.refusal.reason).toEqual("deadline-unreachable");
                expect(decision.refusal.retryAfterSeconds).toBeGreaterThan(0);
            }
        });
    }

    // Guards against a request that stays queued until its deadline although more urgent ones have overtaken it.
    it("refuses a queued request once it can no longer start in time", () => {
        const { table } = prepare();
        const overtaken = createRequest({ priority: 0, deadline: 700 });
        offerRequest(table, overtaken, 0);
        for (let index = 0; index < 3; index++) {
            offerRequest(table, createRequest({ priority: 9 }), 0);
        }
        const progress = expireRequests(table, 1);
        expect(progress.refuse.map(({ request }) => request.requestId)).toEqual([overtaken.requestId]);
    });

    // Guards against a large account that fills the queue, so that the requests of others are refused.
    it("gives a place in the full queue to an account with fewer requests", () => {
        const { table } = prepare();
        const large = Array.from({ length: 10 }, () => createRequest({ clientAccount: "large", priority: 9 }));
        for (const request of large) {
            offerRequest(table, request, 0);
        }
        expect(offerRequest(table, createRequest({ clientAccount: "small" }), 0).kind).toEqual("queue");
        expect(expireRequests(table, 0).refuse.map(({ refusal }) => refusal.reason)).toEqual([
            "account-share-exceeded",
        ]);
        const refused = offerRequest(table, createRequest({ clientAccount: "large", priority: 9 }), 0);
        expect(refused.kind === "refuse" ? refused.refusal.reason : "").toEqual("account-share-exceeded");
        expect(table.queued.size).toEqual(10);
    });

    // Guards against a request that must run alone but runs beside others, and against slots that stay blocked after
    // it.
    it("runs a request alone", () => {
        const { table, running } = prepare({ maximumInProgress: 3 });
        const suspect = createRequest({ priority: 9 });
        const neighbour = createRequest();
        expect(offerRequest(table, suspect, 0, true).kind).toEqual("queue");
        expect(offerRequest(table, neighbour, 0).kind).toEqual("queue");
        expect(finishRequest(table, running.requestId, 10).start).toEqual([suspect]);
        expect(offerRequest(table, createRequest(), 10).kind).toEqual("queue");
        expect(finishRequest(table, suspect.requestId, 20).start.length).toEqual(2);
    });

    // Guards against a canceled request that starts later, and against a slot that is not freed.
    it("cancels queued requests and requests in progress", () => {
        const { table, running } = prepare();
        const first = createRequest();
        const second = createRequest();
        offerRequest(table, first, 0);
        offerRequest(table, second, 0);
        const canceled = cancelRequest(table, first.requestId, 1);
        expect(canceled.refuse.map(({ request, refusal }) => [request.requestId, refusal.ran])).toEqual([
            [first.requestId, "no"],
        ]);
        expect(cancelRequest(table, running.requestId, 2).start).toEqual([second]);
    });

    // Guards against refused callers that all retry in the same second.
    it("spreads the retries of refused callers", () => {
        const { table } = prepare({ maximumInProgress: 10, maximumQueued: 0, maximumRetryAfterSeconds: 30 });
        const seconds = new Map<number, number>();
        for (let index = 0; index < 1_000; index++) {
            const decision = offerRequest(table, createRequest(), 0);
            const after = decision.kind === "refuse" ? decision.refusal.retryAfterSeconds : 0;
            seconds.set(after, (seconds.get(after) ?? 0) + 1);
        }
        // 50 requests a second finish; the callers whose time would be 30 s or more are spread over the last 15 s.
        expect(Math.max(...seconds.values())).toBeLessThanOrEqual(100);
    });

    // Guards against lost or duplicated requests, an unbounded queue, and a request that stays queued past its
    // deadline.
    it("keeps its bounds and gives each request one outcome over random schedules", () => {
        const step = fastCheck.record({
            kind: fastCheck.constantFrom("offer", "offer", "offer", "finish", "cancel", "expire"),
            account: fastCheck.constantFrom("a", "b", "c"),
            priority: fastCheck.integer({ min: 0, max: 9 }),
            duration: fastCheck.integer({ min: 0, max: 100 }),
            deadline: fastCheck.integer({ min: 1, max: 2_000 }),
            alone: fastCheck.integer({ min: 0, max: 9 }),
            pick: fastCheck.nat(),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(step, { minLength: 20, maxLength: 150 }), steps => {
                const table = createAdmissionTable(resolveAdmissionOptions({ maximumInProgress: 3, maximumQueued: 5 }));
                const outcomes = new Map<string, string[]>();
                let now = 0;
                const note = (request: RequestRow, outcome: string) => {
                    outcomes.set(request.requestId, [...outcomes.get(request.requestId) ?? [], outcome]);
                };
                const take = (progress: ReturnType<typeof expireRequests>) => {
                    progress.start.forEach(request => note(request, "start"));
                    progress.refuse.forEach(({ request }) => note(request, "refuse"));
                };
                for (const { kind, account, priority, duration, deadline, alone, pick } of steps) {
                    now += duration;
                    const running = [...table.inProgress.keys()];
                    const waiting = [...table.queued.keys()];
                    if (kind === "offer") {
                        const request = createRequest({
                            clientAccount: account,
                            priority,
                            deadline: now + deadline,
                            receivedAt: now,
                        });
                        const decision = offerRequest(table, request, now, alone === 0);
                        note(request, decision.kind);
                    }
                    else if (kind === "finish" && running.length > 0) {
                        take(finishRequest(table, running[pick % running.length]!, now));
                    }
                    else if (kind === "cancel" && waiting.length > 0) {
                        take(cancelRequest(table, waiting[pick % waiting.length]!, now));
                    }
                    take(expireRequests(table, now));
                    expect(table.queued.size).toBeLessThanOrEqual(5);
                    expect(table.inProgress.size).toBeLessThanOrEqual(3);
                    const exclusive = [...table.inProgress.keys()].some(requestId => table.alone.has(requestId));
                    expect(exclusive && table.inProgress.size > 1).toEqual(false);
                    expect([...table.queued.values()].filter(row => row.deadline <= now)).toEqual([]);
                }
                for (const [requestId, seen] of outcomes) {
                    const [first, ...later] = seen;
                    const waits = first === "queue" && later.length === 0;
                    expect(waits).toEqual(table.queued.has(requestId));
                    expect(later.length).toEqual(first === "queue" && !waits ? 1 : 0);
                }
            }),
            { seed: 9, numRuns: 400 },
        );
    });
});
