import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type ColdState,
    computeColdSend,
    computeColdShare,
    computeColdUntil,
} from "../../../src/runtime/gateway/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";

const second = 1_000;

/** Fleet whose gateways have more requests for one cold backend server than they may send it. */
interface ColdFleet {
    readonly gateways: number;
    readonly requestsPerSecond: number;
    /** Share of the gateways that each of them knows. */
    readonly knownShare: number;
    readonly seed: number;
}

/** Simulates what the gateways of a fleet send to a backend server; returns the ascending times. */
function simulateColdServer({ gateways, knownShare, requestsPerSecond, seed }: ColdFleet): readonly number[] {
    const random = createSeededRandom(seed);
    const names = Array.from({ length: gateways }, (...[, index]) => `gateway-${index}`);
    const times: number[] = [];
    for (const self of names) {
        const others = names.filter(name => name !== self).sort(() => random.next() - 0.5);
        const known = [self, ...others.slice(0, Math.ceil(knownShare * gateways) - 1)];
        const share = computeColdShare({ lifetime: "i-1/1", requestsPerSecond, self, gateways: known });
        const draw = random.next();
        let at = computeColdSend(share, undefined, 0, draw);
        while (at < 20 * second) {
            times.push(at);
            at = computeColdSend(share, at, 0, draw);
        }
    }
    return times.sort((left, right) => left - right);
}

function countInBusiestSecond(times: readonly number[]): number {
    let first = 0;
    return times.reduce((most, time, index) => {
        while (times[first]! <= time - second) {
            first++;
        }
        return Math.max(most, index - first + 1);
    }, 0);
}

describe("requests to a cold backend server", () => {
    // Guards against a fleet that makes a cold backend server crash: 74 requests in a second were seen, 59 are allowed.
    for (const gateways of [1, 2, 11, 17, 60, 360]) {
        for (const requestsPerSecond of [0.5, 1, 4, 12, 36, 100]) {
            for (const knownShare of [1, 0.55]) {
                const known = `${knownShare * 100} % of ${gateways} gateways`;
                it(`stay within ${requestsPerSecond} a second if each gateway knows ${known}`, () => {
                    for (let seed = 1; seed <= 5; seed++) {
                        const times = simulateColdServer({ gateways, requestsPerSecond, knownShare, seed });
                        expect(countInBusiestSecond(times) <= requestsPerSecond * 1.5 + 5).toEqual(true);
                    }
                });
            }
        }
    }

    // Guards against a limit that wastes what the backend server tolerates.
    it("use at least two fifths of the limit if all gateways know each other", () => {
        for (const gateways of [1, 11, 17, 360]) {
            const times = simulateColdServer({ gateways, requestsPerSecond: 36, knownShare: 1, seed: 1 });
            expect(times.length >= 0.4 * 36 * 20).toEqual(true);
        }
    });

    // Guards against first requests of all gateways at the same moment.
    it("do not begin together", () => {
        const times = simulateColdServer({ gateways: 17, requestsPerSecond: 36, knownShare: 1, seed: 1 });
        expect(times.filter(time => time < 100).length <= 5).toEqual(true);
    });
});

describe("pace towards a backend server that became cold again", () => {
    const share = { isHolder: true, interval: 500 };
    const cases = [
        ["it was sent a request before", 900, 1_400],
        ["its last request was long ago", 100, 1_250],
        ["it was sent a request since then", 1_300, 1_800],
        ["it has never been sent one", undefined, 1_250],
    ] as const;
    for (const [name, lastSentAt, expected] of cases) {
        it(`keeps the interval, and spreads the first requests: ${name}`, () => {
            expect(computeColdSend(share, lastSentAt, 1_000, 0.5)).toEqual(expected);
        });
    }

    it("allows no request from a gateway that is no holder", () => {
        expect(computeColdSend({ isHolder: false, interval: 500 }, undefined, 0, 0.5)).toEqual(Infinity);
    });
});

describe("end of a slow start", () => {
    const slowStart = { duration: 10_000, requestsPerSecond: 36 };
    const times = { now: 100_000, wall: 1_000_000, liftedAt: undefined };
    const state: ColdState = { startedAt: 900_000, statedUntil: 99_000, seenAt: 50_000, unknownUntil: 52_000 };

    // Guards against full load on a backend server that is cold, or whose state is not known.
    const cases: readonly (readonly [string, Partial<ColdState>, number | undefined, number])[] = [
        ["has passed if it started long ago and states nothing else", {}, undefined, 99_000],
        ["follows its start", { startedAt: 996_000 }, undefined, 106_000],
        ["is at most one duration away if its clock is ahead", { startedAt: 1_500_000 }, undefined, 110_000],
        ["follows its statement, also long after its start", { statedUntil: 104_000 }, undefined, 104_000],
        ["follows its start if it states less", { startedAt: 996_000, statedUntil: 100_000 }, undefined, 106_000],
        ["is not known yet when its entry has just been read", { unknownUntil: 101_000 }, undefined, 101_000],
        [
            "is one duration away if nothing is known",
            { startedAt: undefined, statedUntil: undefined, seenAt: 99_000 },
            undefined,
            109_000,
        ],
        ["follows its statement if its start is not known", { startedAt: undefined }, undefined, 99_000],
        ["follows the end of an evacuation", {}, 95_000, 105_000],
    ];
    for (const [name, changes, liftedAt, expected] of cases) {
        it(name, () => {
            expect(computeColdUntil({ ...state, ...changes }, slowStart, { ...times, liftedAt })).toEqual(expected);
        });
    }
});
