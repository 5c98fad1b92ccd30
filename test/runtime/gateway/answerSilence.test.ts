import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computeSilenceLimit,
    createAnswerSilenceTable,
    recordAnswerSilence,
} from "../../../src/runtime/gateway/index.js";

describe("limit of silence", () => {
    // Guards against a second run of each request of a route whose answers usually take long.
    const cases: readonly (readonly [string, readonly number[], number, number])[] = [
        ["is the shortest one for an unknown route", [], 10_000, 1_500],
        ["is the shortest one for a route with fast answers", [20, 30, 25], 10_000, 1_500],
        ["is longer than the answers of its route usually take", [2_000, 1_900, 2_000, 2_000], 10_000, 4_000],
        ["ignores long silences of fewer than half of the answers", [20, 20, 20, 4_000, 4_000], 10_000, 1_500],
        ["leaves another attempt as much time", [2_000], 8_000, 4_000],
        ["is not reached if another attempt would have less time", [2_000], 7_999, Infinity],
        ["is not reached if the time is short", [], 2_999, Infinity],
        ["is reached in a short time if its route's answers are faster", [100], 1_700, 1_500],
        ["is not reached in a time that is too short for them too", [100], 1_699, Infinity],
        [
            "follows the newest answers",
            [...Array<number>(64).fill(3_000), ...Array<number>(64).fill(20)],
            10_000,
            1_500,
        ],
    ];
    for (const [name, silences, remaining, expected] of cases) {
        it(name, () => {
            const table = createAnswerSilenceTable();
            silences.forEach(silence => recordAnswerSilence(table, "route", silence));
            recordAnswerSilence(table, "other", 5_000);
            expect(computeSilenceLimit(table, "route", { shortest: 1_500, remaining })).toEqual(expected);
        });
    }
});
