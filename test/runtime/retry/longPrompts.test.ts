import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computePartFingerprints,
    type CrashEvidence,
    createCrashEvidence,
    exportEvidence,
    hasRivalParts,
    recordAnswer,
    recordCrash,
    resolveRetryOptions,
} from "../../../src/runtime/retry/index.js";

const options = resolveRetryOptions({ maximumCrashes: 3 });

function createEvidence(crashes: readonly (readonly [number, readonly string[]])[] = []): CrashEvidence {
    const evidence = createCrashEvidence(options);
    crashes.forEach(([at, causes]) => recordCrash(evidence, `server-${at}`, causes, at));
    return evidence;
}

function listCondemned({ suspects }: CrashEvidence): readonly string[] {
    return [...suspects].filter(([, { condemned }]) => condemned).map(([fingerprint]) => fingerprint);
}

describe("evidence of parts of long prompts", () => {
    // Guards against a part that is hidden by the number of parts beside it.
    for (const [count, place] of [[17, 16], [100, 0], [1_000, 500], [10_000, 9_999]] as const) {
        it(`finds the one that crashes backend servers among ${count} parts, at place ${place}`, () => {
            const names = Array.from({ length: count }, (...[, index]) => index.toString(16));
            const parts = computePartFingerprints("service", names);
            const evidence = createEvidence([0, 1_000].map(at => [at, [`request-${at}`, ...parts]]));
            recordCrash(evidence, "server-2000", ["request-2000", ...parts], 2_000);
            expect(hasRivalParts(evidence, parts)).toEqual(true);
            recordAnswer(evidence, ["sound", ...parts.filter((...[, index]) => index !== place)], 2_500);
            expect(listCondemned(evidence)).toEqual([parts[place]!]);
        });
    }

    // Guards against prompts that are made to fill the evidence, so that it has no room for what they have in common.
    it("finds the one that crashes backend servers in prompts that have nothing else in common", () => {
        const [fatal] = computePartFingerprints("service", ["bad0c0de"]) as [string];
        const evidence = createEvidence();
        let crashes = 0;
        while (!listCondemned(evidence).includes(fatal)) {
            const others = Array.from(
                { length: 16 * 4_000 },
                (...[, index]) => `${crashes.toString(16)}0${index.toString(16)}`,
            );
            const parts = [...computePartFingerprints("service", others), fatal];
            recordCrash(evidence, `server-${crashes}`, [`request-${crashes}`, ...parts], crashes * 1_000);
            expect([...evidence.crashes.values()].reduce((sum, row) => sum + row.fingerprints.size, 0))
                .toBeLessThanOrEqual(options.maximumSuspects);
            crashes++;
            expect(crashes).toBeLessThan(20);
        }
    });

    // Guards against messages that are larger than other gateways accept, so that they learn of no crash.
    it("fits into one message", () => {
        const names = Array.from({ length: 60_000 }, (...[, index]) => index.toString(16).padStart(32, "a"));
        const evidence = createEvidence([0, 1_000].map(at => [at, computePartFingerprints("service", names)]));
        const { crashes } = exportEvidence(evidence, 1_000);
        const bytes = crashes.flatMap(({ fingerprints }) => fingerprints).reduce(
            (sum, text) => sum + text.length + 2,
            0,
        );
        expect(bytes).toBeGreaterThan(0);
        expect(bytes).toBeLessThan(4_194_304);
    });
});
