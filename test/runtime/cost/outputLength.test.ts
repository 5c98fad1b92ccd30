import { expect } from "earl";
import { describe, it } from "node:test";
import {
    estimateLength,
    type LengthInput,
    type OutputLengthTable,
    recordLength,
} from "../../../src/runtime/cost/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";

function createInput(changes: Partial<LengthInput> = {}): LengthInput {
    return { route: "engrave", stated: undefined, maximum: 400, usual: 110, ...changes };
}

/** Draws from a log-normal distribution. */
function sampleLogNormal(mean: number, spread: number, random: { next(): number; }): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return Math.exp(Math.log(mean) - spread ** 2 / 2 + spread * normal);
}

function learn(table: OutputLengthTable, mean: number, count: number): void {
    const random = createSeededRandom(count);
    for (let index = 0; index < count; index++) {
        recordLength(table, createInput(), sampleLogNormal(mean, 0.5, random));
    }
}

describe("expected length of an answer", () => {
    // Guards against a fresh process, or a new route, that routes by a length of 0 or of the maximum.
    const fresh: readonly (readonly [string, Partial<LengthInput>, number])[] = [
        ["is the usual one of the service on a new route", {}, 110],
        ["is at most the maximum", { maximum: 40 }, 40],
        ["is positive if nothing is known", { maximum: undefined, usual: undefined }, 201],
        ["ignores figures that are out of range", { stated: NaN, maximum: -1, usual: 0 }, 201],
        ["is at least a token", { stated: 1e-9 }, 1],
    ];
    for (const [name, changes, tokens] of fresh) {
        it(name, () => {
            expect(Math.round(estimateLength(new Map(), createInput(changes)).tokens)).toEqual(tokens);
        });
    }

    // Guards against an estimate that keeps the mean of a mix that has ended.
    it("follows a changed mix within a hundred answers", () => {
        const table: OutputLengthTable = new Map();
        learn(table, 40, 200);
        expect(estimateLength(table, createInput()).tokens).toBeBetween(30, 52);
        learn(table, 200, 100);
        expect(estimateLength(table, createInput()).tokens).toBeBetween(150, 290);
    });

    // Guards against one extreme answer that makes all later requests look long.
    it("is moved by less than a fifth by a single very long answer", () => {
        const table: OutputLengthTable = new Map();
        learn(table, 40, 200);
        const before = estimateLength(table, createInput()).tokens;
        recordLength(table, createInput(), 1_000_000);
        expect(estimateLength(table, createInput()).tokens / before).toBeBetween(1, 1.2);
    });

    // Guards against trust in stated lengths that have proven wrong, and against ignoring those that have proven right.
    it("weighs the stated length by how right stated lengths were", () => {
        const estimate = (factors: readonly number[]) => {
            const table: OutputLengthTable = new Map();
            const random = createSeededRandom(1);
            for (let index = 0; index < 300; index++) {
                const tokens = sampleLogNormal(100, 0.9, random);
                recordLength(table, createInput({ stated: tokens * factors[index % factors.length]! }), tokens);
            }
            return estimateLength(table, createInput({ stated: 390 })).tokens;
        };
        expect(estimate([1])).toBeBetween(370, 400);
        expect(estimate([2])).toBeBetween(180, 210);
        expect(estimate([0.02, 50])).toBeBetween(60, 200);
    });

    // Guards against memory that grows with the names of routes.
    it("remembers at most 1,024 routes, those that were used last", () => {
        const table: OutputLengthTable = new Map();
        for (let index = 0; index < 3_000; index++) {
            recordLength(table, createInput({ route: String(index) }), 10);
        }
        expect(table.size).toEqual(1_024);
        expect(table.has("2999")).toEqual(true);
    });
});
