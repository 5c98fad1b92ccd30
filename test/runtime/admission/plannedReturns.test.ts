import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type AdmissionOptions,
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
} from "../../../src/runtime/admission/index.js";
import type { Refusal, RequestRow } from "../../../src/types/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";
import { createRequest } from "./requests.js";

const tick = 5;
const serviceTime = 200;
const timeout = 6_000;
const permittedWait = 200;
/** Offered load as a share of the capacity: a burst of two seconds. */
const readLoad = (now: number): number => now >= 4_000 && now < 6_000 ? 2 : 0.6;

interface Caller {
    readonly begunAt: number;
    readonly returnsAtOnce: boolean;
    refusals: number;
    started: boolean;
}

function prepare(changes: Partial<AdmissionOptions>) {
    return createAdmissionTable(resolveAdmissionOptions({
        maximumInProgress: 20,
        initialServiceTime: serviceTime,
        retryAfterStepSeconds: 0.05,
        maximumRetryAfterSeconds: 2,
        ...changes,
    }));
}

/**
 * Plays a burst against a server with a capacity of 100 requests a second. A refused caller returns once, at the time
 * that it was told, at most a third of the time that it has left, or at once.
 */
function play(changes: Partial<AdmissionOptions>, seed: number, returnAtOnceShare = 0): readonly Caller[] {
    const table = prepare(changes);
    const random = createSeededRandom(seed);
    const callers: Caller[] = [];
    const callerOf = new Map<string, Caller>();
    const endings: { readonly requestId: string; readonly at: number; }[] = [];
    const returns: { readonly at: number; readonly caller: Caller; }[] = [];
    let now = 0;
    function start({ requestId }: RequestRow): void {
        callerOf.get(requestId)!.started = true;
        endings.push({ requestId, at: now + serviceTime });
    }
    function refuse({ requestId }: RequestRow, { retryAfterSeconds }: Refusal): void {
        const caller = callerOf.get(requestId)!;
        caller.refusals++;
        if (caller.refusals === 1) {
            const wait = Math.min(retryAfterSeconds * 1_000, (caller.begunAt + timeout - now) / 3);
            returns.push({ at: now + (caller.returnsAtOnce ? tick : wait), caller });
        }
    }
    function take({ refuse: refused, start: started }: ReturnType<typeof expireRequests>): void {
        started.forEach(start);
        refused.forEach(({ refusal, request }) => refuse(request, refusal));
    }
    function offer(caller: Caller): void {
        const missedTarget = now - caller.begunAt > 400;
        const request = createRequest({
            receivedAt: now,
            deadline: now + permittedWait,
            endsAt: caller.begunAt + timeout,
            missedTarget,
            hasReturned: caller.refusals > 0,
        });
        callerOf.set(request.requestId, caller);
        const decision = offerRequest(table, request, now);
        if (decision.kind === "start") {
            start(request);
        }
        else if (decision.kind === "refuse") {
            refuse(request, decision.refusal);
        }
    }
    for (; now < 14_000; now += tick) {
        while (endings[0] !== undefined && endings[0].at <= now) {
            take(finishRequest(table, endings.shift()!.requestId, now));
        }
        for (const due of returns.filter(({ at }) => at <= now)) {
            returns.splice(returns.indexOf(due), 1);
            offer(due.caller);
        }
        if (random.next() < readLoad(now) * 100 * tick / 1_000) {
            const returnsAtOnce = random.next() < returnAtOnceShare;
            const caller = { begunAt: now, returnsAtOnce, refusals: 0, started: false };
            callers.push(caller);
            offer(caller);
        }
        take(expireRequests(table, now));
    }
    return callers;
}

function countRefusedTwice(changes: Partial<AdmissionOptions>): number {
    return [1, 2, 3, 4, 5].reduce(
        (sum, seed) => sum + play(changes, seed).filter(({ refusals }) => refusals > 1).length,
        0,
    );
}

describe("planned returns", () => {
    // Guards against callers that return after a burst, at the time that they were told, and are refused again.
    it("are refused a second time less than half as often as with the constant plan", () => {
        const planned = countRefusedTwice({ plannedRetryAfter: true });
        const constant = countRefusedTwice({});
        expect(constant).toBeGreaterThan(0);
        expect(planned).toBeLessThan(constant / 2);
    });

    // Guards against an advantage of callers that ignore the time that they were told.
    it("serve callers that return at once no better than those that return when told", () => {
        const callers = [1, 2, 3, 4, 5].flatMap(seed => play({ plannedRetryAfter: true }, seed, 0.3));
        const computeServed = (returnsAtOnce: boolean) => {
            const refused = callers.filter(caller => caller.refusals > 0 && caller.returnsAtOnce === returnsAtOnce);
            return refused.filter(({ started }) => started).length / refused.length;
        };
        expect(computeServed(true)).toBeLessThanOrEqual(computeServed(false));
    });

    // Guards against a retry time after which the caller no longer waits, and against one that promises a start
    // that other callers were promised before.
    it("are told later times in turn, and the longest time of use once no start is left within it", () => {
        const table = prepare({ plannedRetryAfter: true, maximumInProgress: 1, maximumRetryAfterSeconds: 30 });
        offerRequest(table, createRequest({ deadline: 10_000 }), 0);
        const times = Array.from({ length: 30 }, () => {
            const decision = offerRequest(table, createRequest({ deadline: 50, endsAt: 6_000 }), 0);
            return decision.kind === "refuse" ? decision.refusal.retryAfterSeconds : 0;
        });
        expect(times).toEqual([...times].sort((left, right) => left - right));
        expect(times[0]!).toBeLessThan(times[3]!);
        expect(times.at(-1)).toEqual(2);
    });

    // Guards against a late request that is refused although its answer is of use for much longer.
    it("let a late request wait for half of the time that is left, and no other one", () => {
        const table = prepare({ plannedRetryAfter: true, maximumInProgress: 1 });
        offerRequest(table, createRequest({ deadline: 10_000 }), 0);
        const late = createRequest({ deadline: 50, endsAt: 6_000, missedTarget: true });
        const other = createRequest({ deadline: 50, endsAt: 6_000 });
        expect(offerRequest(table, late, 0).kind).toEqual("queue");
        expect(offerRequest(table, other, 0).kind).toEqual("refuse");
    });
});
