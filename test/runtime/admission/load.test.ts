import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
} from "../../../src/runtime/admission/index.js";
import {
    createRetryBudget,
    creditRequest,
    decideRetry,
    resolveRetryOptions,
} from "../../../src/runtime/retry/index.js";
import type { RequestRow } from "../../../src/types/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";
import { createRequest } from "./requests.js";

const tick = 10;
const serviceTime = 200;

/** A server that runs 20 requests at once for 200 ms each: 100 requests a second. */
function createServer() {
    const table = createAdmissionTable(resolveAdmissionOptions({ maximumInProgress: 20, maximumQueued: 100 }));
    const started = new Map<string, number>();
    const served = new Map<string, number>();
    const refused: { readonly request: RequestRow; readonly retryAfterSeconds: number; }[] = [];
    function start(request: RequestRow, now: number): void {
        started.set(request.requestId, now);
        served.set(request.clientAccount, (served.get(request.clientAccount) ?? 0) + 1);
    }
    function take(progress: ReturnType<typeof expireRequests>, now: number): void {
        progress.start.forEach(request => start(request, now));
        for (const { request, refusal } of progress.refuse) {
            refused.push({ request, retryAfterSeconds: refusal.retryAfterSeconds });
        }
    }
    return {
        table,
        served,
        refused,
        offer(request: RequestRow, now: number): void {
            const decision = offerRequest(table, request, now);
            if (decision.kind === "start") {
                start(request, now);
            }
            else if (decision.kind === "refuse") {
                refused.push({ request, retryAfterSeconds: decision.refusal.retryAfterSeconds });
            }
        },
        advance(now: number): void {
            for (const [requestId, startedAt] of [...started]) {
                if (now - startedAt >= serviceTime) {
                    started.delete(requestId);
                    take(finishRequest(table, requestId, now), now);
                }
            }
            take(expireRequests(table, now), now);
        },
    };
}

describe("admission under load", () => {
    // Guards against a large account that starves the others, even with a higher priority, and against capacity that
    // stays idle although the large account could use it.
    for (const largePriority of [5, 9]) {
        it(`serves small accounts beside a large one with priority ${largePriority}`, () => {
            const server = createServer();
            const random = createSeededRandom(4);
            let smallOffered = 0;
            for (let now = 0; now < 20_000; now += tick) {
                server.advance(now);
                // The large account offers 300 requests a second, four small ones 10 a second each.
                for (let index = 0; index < 3; index++) {
                    const changes = { clientAccount: "large", priority: largePriority };
                    server.offer(createRequest({ ...changes, deadline: now + 1_000, receivedAt: now }), now);
                }
                if (random.next() < 0.4) {
                    smallOffered += 1;
                    const clientAccount = `small-${smallOffered % 4}`;
                    server.offer(createRequest({ clientAccount, deadline: now + 1_000, receivedAt: now }), now);
                }
            }
            const served = [...server.served];
            const small = served.filter(([account]) => account !== "large").reduce((sum, [, count]) => sum + count, 0);
            const total = served.reduce((sum, [, count]) => sum + count, 0);
            expect(small / smallOffered).toBeGreaterThan(0.95);
            // 95 % of the capacity of 100 requests a second.
            expect(total).toBeGreaterThan(0.95 * 20 * 100);
        });
    }

    // Guards against a service that stays overloaded after an outage because of retries and refused callers that
    // return.
    it("serves all refused callers within twice the shortest possible time after an outage", () => {
        const retryOptions = resolveRetryOptions();
        const server = createServer();
        const budget = createRetryBudget(0, retryOptions);
        const random = createSeededRandom(8);
        const returns: { readonly at: number; readonly since: number; }[] = [];
        let [requests, attempts, drainedAt] = [0, 0, 0];
        const outage = { begin: 10_000, end: 25_000 };

        function attempt(request: RequestRow, now: number, attemptsOfRequest: number): void {
            attempts += 1;
            if (now < outage.begin || now >= outage.end) {
                server.offer(request, now);
                return;
            }
            const decision = decideRetry({
                request,
                refusal: { ran: "no", reason: "connection-lost", retryAfterSeconds: 1 },
                backendServerCrashed: false,
                attempts: attemptsOfRequest,
                answerBegun: false,
                standing: "clear",
                budget,
                now,
                options: retryOptions,
            });
            if (decision.kind === "retry") {
                attempt(request, now, attemptsOfRequest + 1);
            }
            else {
                returns.push({ at: now + decision.refusal.retryAfterSeconds * 1_000, since: request.receivedAt });
            }
        }

        for (let now = 0; now < 120_000; now += tick) {
            server.advance(now);
            // 70 requests a second are new; refused callers come back when they were told to.
            const due = returns.filter(({ at }) => at <= now);
            returns.splice(0, returns.length, ...returns.filter(({ at }) => at > now));
            const fresh = random.next() < 0.7 ? [{ since: now }] : [];
            for (const { since } of [...due, ...fresh]) {
                requests += 1;
                creditRequest(budget, now, retryOptions);
                attempt(createRequest({ deadline: now + 1_000, receivedAt: since }), now, 1);
            }
            for (const { request, retryAfterSeconds } of server.refused.splice(0)) {
                returns.push({ at: now + retryAfterSeconds * 1_000, since: request.receivedAt });
            }
            if (now > outage.end && returns.length === 0 && drainedAt === 0) {
                drainedAt = now;
            }
        }
        // The retry budget: a tenth of the requests, 1 a second for 120 s, and 10 at its start.
        expect(attempts).toBeLessThanOrEqual(requests * 1.1 + 120 + 10);
        // 15 s x 70 requests wait, and 30 a second of the capacity are free: at best 35 s.
        expect(drainedAt).toBeGreaterThan(0);
        expect(drainedAt - outage.end).toBeLessThan(2 * 35_000);
    });
});
