import { expect } from "earl";
import { describe, it } from "node:test";
import { policies } from "../../bench/days/policies.js";
import { scenarios } from "../../bench/days/scenarios.js";
import { playDay } from "../../bench/days/simulation.js";

const seeds = [1, 2, 3];

function play(day: string, policy: string, seed = 1) {
    return playDay(day, scenarios[day]!(), policy, policies[policy]!, seed);
}

function average(day: string, policy: string, read: (result: ReturnType<typeof play>) => number): number {
    return seeds.reduce((sum, seed) => sum + read(play(day, policy, seed)), 0) / seeds.length;
}

describe("days of the emulator", () => {
    it("repeat with the same seed", () => {
        expect(play("burst", "own")).toEqual(play("burst", "own"));
    });

    it("are answered in time while it is calm", () => {
        expect(play("calm", "own").inAimShare).toBeGreaterThan(0.99);
    });

    for (const day of ["burst", "overload"]) {
        it(`are worth more with a queue at the gateway during ${day} than with any baseline`, () => {
            const own = average(day, "own", ({ worth }) => worth);
            for (const baseline of ["own without queue", "round robin", "least outstanding"]) {
                expect(own).toBeGreaterThan(average(day, baseline, ({ worth }) => worth));
            }
        });
    }

    it("have more answers in time under overload if late requests start last, for at most two in a hundred fewer answers", () => {
        expect(average("overload", "own", ({ inAimShare }) => inAimShare))
            .toBeGreaterThan(average("overload", "own by arrival", ({ inAimShare }) => inAimShare));
        expect(average("overload", "own", ({ answeredShare }) => answeredShare) + 0.02)
            .toBeGreaterThan(average("overload", "own by arrival", ({ answeredShare }) => answeredShare));
    });

    it("leave no client account behind", () => {
        const { inAimShare, worstAccount } = play("overload", "own");
        expect(worstAccount).toBeGreaterThan(inAimShare * 0.8);
    });

    it("bring a new version to every engine within 8 s, without a second in which most callers wait", () => {
        const { timeToReplicas, worstSecond } = play("version change", "own");
        expect(timeToReplicas! < 8_000).toEqual(true);
        expect(worstSecond).toBeGreaterThan(0.9);
    });
});
