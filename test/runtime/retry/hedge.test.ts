import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createRetryBudget,
    decideHedge,
    type HedgeInput,
    resolveRetryOptions,
} from "../../../src/runtime/retry/index.js";

const options = { ...resolveRetryOptions(), maximumAttempts: 2 };

function decide(changes: Partial<HedgeInput>): string {
    const budget = createRetryBudget(0, options);
    const { available } = budget;
    const { countsAgainstServer, kind, reason } = decideHedge({
        idempotent: true,
        attempts: 1,
        isOtherResponsive: false,
        mustComplete: false,
        waitsForCaller: false,
        mayCrash: false,
        hasServer: true,
        waitingThere: 0,
        remaining: 2_000,
        needed: 1_500,
        budget,
        now: 0,
        options,
        ...changes,
    });
    return `${kind}: ${reason}; ${available - budget.available} taken${countsAgainstServer ? ", failed" : ""}`;
}

describe("attempt beside one that is silent", () => {
    const empty = { available: 0, updatedAt: 0 };
    // Guards against a second run of a non-idempotent request, mixed answers, and retries beyond a limit.
    const cases: readonly (readonly [Partial<HedgeInput>, string])[] = [
        [{}, "hedge: the backend server is silent; 1 taken, failed"],
        [{ remaining: 1_500 }, "hedge: the backend server is silent; 1 taken, failed"],
        [{ idempotent: false }, "wait: the request is not idempotent; 0 taken"],
        [{ isOtherResponsive: true }, "wait: another attempt is not silent; 0 taken"],
        [{ mustComplete: true }, "wait: no other backend server can continue the answer; 0 taken"],
        [{ waitsForCaller: true }, "wait: the caller has not read what was sent; 0 taken"],
        [{ attempts: 2 }, "wait: the attempts are used up; 0 taken"],
        [{ mayCrash: true }, "wait: another attempt may crash its backend server; 0 taken"],
        [{ remaining: 1_499 }, "wait: too little time is left; 0 taken"],
        [{ hasServer: false }, "wait: no other backend server can be chosen; 0 taken"],
        [{ waitingThere: 1 }, "wait: requests wait at the other backend server; 0 taken, failed"],
        [{ budget: empty }, "wait: the retry budget is used up; 0 taken"],
    ];
    for (const [changes, expected] of cases) {
        it(`${JSON.stringify(changes)}: ${expected}`, () => {
            expect(decide(changes)).toEqual(expected);
        });
    }
});
