import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createRetryBudget,
    creditRequest,
    decideRetry,
    resolveRetryOptions,
    type RetryInput,
} from "../../../src/runtime/retry/index.js";
import type { RanState, RefusalReason, RequestRow } from "../../../src/types/index.js";

const options = resolveRetryOptions();

function createRequest(changes: Partial<RequestRow> = {}): RequestRow {
    return {
        requestId: "request",
        deployment: "members",
        clientAccount: "account",
        priority: 5,
        deadline: 10_000,
        receivedAt: 0,
        idempotent: false,
        idempotencyKey: undefined,
        fingerprint: "fingerprint",
        prefix: undefined,
        ...changes,
    };
}

function decide(ran: RanState, reason: RefusalReason, changes: Partial<RetryInput>): string {
    const decision = decideRetry({
        request: createRequest(),
        refusal: { ran, reason, retryAfterSeconds: 1 },
        backendServerCrashed: false,
        attempts: 1,
        answerBegun: false,
        standing: "clear",
        budget: createRetryBudget(0, options),
        now: 1_000,
        options,
        ...changes,
    });
    if (decision.kind === "retry") {
        return decision.alone ? "retry alone" : "retry";
    }
    return `${decision.refusal.reason}: ${decision.refusal.ran}`;
}

describe("retry decision", () => {
    const idempotent = createRequest({ idempotent: true });
    // Guards against a second run of a non-idempotent request, a retry after the answer has begun, and a refusal that
    // says "not run" although an attempt may have run.
    const cases: readonly (readonly [string, RanState, RefusalReason, Partial<RetryInput>, string])[] = [
        ["did not run", "no", "draining", {}, "retry"],
        ["may have run", "unknown", "connection-lost", {}, "connection-lost: unknown"],
        ["may have run, idempotent", "unknown", "connection-lost", { request: idempotent }, "retry"],
        [
            "crashed, non-idempotent",
            "unknown",
            "backend-server-crashed",
            { backendServerCrashed: true },
            "backend-server-crashed: unknown",
        ],
        ["crashed, idempotent", "unknown", "backend-server-crashed", {
            backendServerCrashed: true,
            request: idempotent,
        }, "retry alone"],
        ["suspect", "no", "draining", { standing: "suspect" }, "retry alone"],
        [
            "condemned",
            "unknown",
            "backend-server-crashed",
            { standing: "condemned", request: idempotent },
            "crashes-backend-servers: unknown",
        ],
        [
            "answer begun",
            "unknown",
            "connection-lost",
            { answerBegun: true, request: idempotent },
            "connection-lost: unknown",
        ],
        ["earlier attempt may have run", "no", "queue-full", { mayHaveRun: true, attempts: 3 }, "queue-full: unknown"],
        ["attempts used up", "no", "queue-full", { attempts: 3 }, "queue-full: no"],
        ["deadline passed", "no", "queue-full", { now: 10_000 }, "deadline-passed: no"],
        ["no budget", "no", "draining", { budget: { available: 0, updatedAt: 1_000 } }, "retry-budget-exhausted: no"],
        [
            "no budget, but nothing reached the backend server",
            "no",
            "connection-lost",
            { budget: { available: 0, updatedAt: 1_000 }, reachedServer: false },
            "retry",
        ],
        ["final refusal", "no", "key-invalid", {}, "key-invalid: no"],
        ["repeated key", "unknown", "key-in-progress", { request: idempotent }, "key-in-progress: unknown"],
    ];
    for (const [name, ran, reason, changes, expected] of cases) {
        it(`decides on a request: ${name}`, () => {
            expect(decide(ran, reason, changes)).toEqual(expected);
        });
    }

    // Guards against retries that multiply the load of an outage.
    it("keeps retries within the budget", () => {
        const budget = createRetryBudget(0, options);
        let retries = 0;
        for (let index = 0; index < 10_000; index++) {
            const now = index * 10;
            creditRequest(budget, now, options);
            const request = createRequest({ deadline: now + 1_000 });
            retries += decide("no", "connection-lost", { budget, now, request }) === "retry" ? 1 : 0;
        }
        // 10 at the start, a tenth of 10,000 requests, and 1 a second for 100 s.
        expect(retries).toBeLessThanOrEqual(10 + 1_000 + 100);
        expect(retries).toBeGreaterThan(1_050);
    });
});
