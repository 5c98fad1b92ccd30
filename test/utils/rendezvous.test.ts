import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { rankByRendezvous } from "../../src/utils/index.js";

describe("rendezvous hashing", () => {
    // Guards against keys that move between two candidates that both stay.
    it("moves only the keys of a candidate that leaves", () => {
        fastCheck.assert(
            fastCheck.property(
                fastCheck.string(),
                fastCheck.uniqueArray(fastCheck.string(), { minLength: 2, maxLength: 12 }),
                (key, candidates) => {
                    const ranked = rankByRendezvous(key, candidates);
                    const leaving = candidates[0]!;
                    const remaining = rankByRendezvous(key, candidates.slice(1));
                    expect(remaining).toEqual(ranked.filter(candidate => candidate !== leaving));
                },
            ),
            { seed: 1 },
        );
    });

    // Guards against a hash that gives some candidates far more keys than others.
    it("spreads keys evenly over similar names", () => {
        const candidates = [...Array(10).keys()].map(index => `runner-${index}`);
        const counts = new Map<string, number>();
        for (let key = 0; key < 10_000; key++) {
            const best = rankByRendezvous(`key-${key}`, candidates)[0]!;
            counts.set(best, (counts.get(best) ?? 0) + 1);
        }
        for (const candidate of candidates) {
            expect(counts.get(candidate) ?? 0).toBeGreaterThan(850);
            expect(counts.get(candidate) ?? 0).toBeLessThan(1_150);
        }
    });
});
