import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computeNextSend,
    computeRateShare,
    isSignificantChange,
    type RateShare,
} from "../../../src/runtime/gateway/index.js";

/** `settle_window_ms` of the installations, in milliseconds. */
const settleWindow = 3_000;
const trialAfter = 12_000;
const window = 4_000;

function listGateways(count: number): string[] {
    return Array.from({ length: count }, (...[, index]) => `front-${index + 1}`);
}

function computeShares(requestsPerSecond: number, count: number): RateShare[] {
    const gateways = listGateways(count);
    return gateways.map(self => computeRateShare({ lifetime: "i-1/1", requestsPerSecond, self, gateways, trialAfter }));
}

/** Sends whenever the shares allow it, and returns the times of all requests, in ascending order. */
function simulateSends(shares: readonly RateShare[], duration: number): number[] {
    return shares.flatMap((share, index) => {
        const times: number[] = [];
        const row = { lastSentAt: 0, statedAt: 0, draw: index / shares.length };
        for (let now = 0; now < duration; now += 10) {
            if (computeNextSend(row, share) <= now) {
                row.lastSentAt = now;
                times.push(now);
            }
        }
        return times;
    }).sort((left, right) => left - right);
}

function countInBusiestWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + window).length));
}

describe("shares of a rate limit", () => {
    for (const count of [1, 2, 5, 13, 100, 360]) {
        for (const requestsPerSecond of [0, 0.3, 1, 1.9, 7, 40]) {
            // Guards against shares whose first requests alone exceed a low limit when there are many gateways.
            it(`let ${count} gateways send ${requestsPerSecond} requests a second together`, () => {
                const sent = simulateSends(computeShares(requestsPerSecond, count), 40_000);
                const settled = sent.filter(time => time >= settleWindow);
                expect(countInBusiestWindow(settled) <= 1.5 * requestsPerSecond * 4 + 5).toEqual(true);
                // A limit that is not used leaves requests unserved that the backend server would take.
                expect(sent.length >= 0.8 * requestsPerSecond * 40 - 3).toEqual(true);
            });
        }
    }

    it("go to the same gateways wherever they are computed", () => {
        const holders = computeShares(3, 13).filter(({ isHolder }) => isHolder);
        expect(holders.length).toEqual(5);
        expect(new Set(holders.map(({ interval }) => interval)).size).toEqual(1);
    });

    it("stay with the other gateways when one is added", () => {
        const before = computeShares(3, 13).flatMap(({ isHolder }, index) => isHolder ? [index] : []);
        const after = computeShares(3, 14).flatMap(({ isHolder }, index) => isHolder ? [index] : []);
        expect(before.filter(index => after.includes(index)).length >= 4).toEqual(true);
    });

    // Guards against a gateway without a share that never learns that the limit has ended.
    it("let a gateway without a share send a trial request after a time without a statement", () => {
        const share = computeShares(3, 13).find(({ isHolder }) => !isHolder)!;
        expect(computeNextSend({ lastSentAt: 0, statedAt: 50_000, draw: 0 }, share)).toEqual(50_000 + share.trialAfter);
    });
});

describe("change of a rate limit", () => {
    for (
        const { known, stated, expected } of [
            { known: undefined, stated: 2, expected: true },
            { known: 2, stated: undefined, expected: true },
            { known: undefined, stated: undefined, expected: false },
            { known: 2, stated: 2.2, expected: false },
            { known: 2, stated: 1, expected: true },
            { known: 0, stated: 0.05, expected: false },
        ]
    ) {
        it(`from ${known} to ${stated} is ${expected ? "" : "not "}passed on at once`, () => {
            expect(isSignificantChange(known, stated)).toEqual(expected);
        });
    }
});
