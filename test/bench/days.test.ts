import { expect } from "earl";
import { describe, it } from "node:test";
import { policies } from "../../bench/days/policies.js";
import { scenarios } from "../../bench/days/scenarios.js";
import { simulateScenario } from "../../bench/days/simulation.js";

const seeds = [1, 2, 3];

function simulate(scenario: string, policy: string, seed = 1) {
    return simulateScenario(scenario, scenarios[scenario]!(), policy, policies[policy]!, seed);
}

function average(scenario: string, policy: string, read: (result: ReturnType<typeof simulate>) => number): number {
    return seeds.reduce((sum, seed) => sum + read(simulate(scenario, policy, seed)), 0) / seeds.length;
}

describe("simulated scenarios", () => {
    it("give the same result with the same seed", () => {
        expect(simulate("burst", "own")).toEqual(simulate("burst", "own"));
    });

    it("have more than 99 % of the first tokens on time under calm load", () => {
        expect(simulate("calm", "own").inAimShare).toBeGreaterThan(0.99);
    });

    for (const scenario of ["burst", "overload"]) {
        it(`give answers of a higher value with a queue at the gateway in ${scenario} than with any baseline`, () => {
            const own = average(scenario, "own", ({ worth }) => worth);
            for (const baseline of ["own without queue", "round robin", "least outstanding"]) {
                expect(own).toBeGreaterThan(average(scenario, baseline, ({ worth }) => worth));
            }
        });
    }

    it("have more answers on time under overload if late requests start last, while at most 2 % lose theirs", () => {
        expect(average("overload", "own", ({ inAimShare }) => inAimShare))
            .toBeGreaterThan(average("overload", "own by arrival", ({ inAimShare }) => inAimShare));
        expect(average("overload", "own", ({ answeredShare }) => answeredShare) + 0.02)
            .toBeGreaterThan(average("overload", "own by arrival", ({ answeredShare }) => answeredShare));
    });

    it("have an on-time share above 0.8 times the mean for every client account under overload", () => {
        const { inAimShare, worstAccount } = simulate("overload", "own");
        expect(worstAccount).toBeGreaterThan(inAimShare * 0.8);
    });

    it("roll out a version to all engines within 8 s, with over 90 % of the first tokens on time per second", () => {
        const { timeToReplicas, worstSecond } = simulate("version change", "own");
        expect(timeToReplicas! < 8_000).toEqual(true);
        expect(worstSecond).toBeGreaterThan(0.9);
    });

    // Guards against a most urgent class that loses its slots to a less urgent one which may wait longer.
    it("serve the most urgent class under overload better by rank than in the order by account", () => {
        for (const scenario of ["engraving at 1.3", "engraving at 2"]) {
            const byRank = simulate(scenario, "own by rank").classes;
            const byAccount = simulate(scenario, "own").classes;
            expect(byAccount["fingering-hint"]!.inAim).toBeLessThan(byAccount["full-engrave"]!.inAim);
            expect(byRank["fingering-hint"]!.inAim).toBeGreaterThan(byRank["full-engrave"]!.inAim + 0.1);
            expect(byRank["part-check"]!.answered + 0.05).toBeGreaterThan(byRank["full-engrave"]!.answered);
        }
    });
});
