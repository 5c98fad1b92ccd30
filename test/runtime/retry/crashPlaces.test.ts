import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computePartFingerprints,
    type CrashEvidence,
    createCrashEvidence,
    mayCrashBeforeAnswer,
    mayRepeatAfterCrash,
    mergeEvidence,
    recordAnswer,
    recordCrash,
    resolveRetryOptions,
} from "../../../src/runtime/retry/index.js";

const options = resolveRetryOptions({ maximumCrashes: 3 });
const [part, other] = computePartFingerprints("service", ["bad0c0de", "5c1e07a2"]) as [string, string];

/** Records a crash a second, with the number of events that had arrived of an answer with the part. */
function createEvidence(places: readonly number[]): CrashEvidence {
    const evidence = createCrashEvidence(options);
    for (const [index, events] of places.entries()) {
        const causes = [`request-${index}`, part];
        recordCrash(evidence, `server-${index}`, causes, index * 1_000, new Map([[part, events]]));
    }
    return evidence;
}

function isCondemned({ suspects }: CrashEvidence, fingerprint = part): boolean {
    return suspects.get(fingerprint)?.condemned === true;
}

describe("crashes while requests with a part are being answered", () => {
    // Guards against parts that are condemned since streams with them ran when backend servers ended for other reasons.
    const cases: readonly (readonly [string, readonly number[], boolean])[] = [
        ["three after the first event", [1, 1, 1], true],
        ["three after the first event, which did not always arrive", [1, 0, 1], true],
        ["three near the end", [17, 19, 18], true],
        ["three at different places", [1, 7, 19], false],
        ["four at different places", [1, 3, 9, 19], false],
        ["five at different places", [1, 3, 7, 12, 19], true],
        ["three at one place beside others", [4, 1, 12, 1, 1], true],
    ];
    for (const [name, places, condemned] of cases) {
        it(`condemn the part: ${name}, ${condemned}`, () => {
            expect(isCondemned(createEvidence(places))).toEqual(condemned);
        });
    }

    it("count until an answer with the part is complete", () => {
        const evidence = createEvidence([1, 1, 1]);
        recordAnswer(evidence, ["sound", part], 2_500);
        expect(evidence.suspects.has(part)).toEqual(false);
    });

    // Guards against streams that are given up after two crashes for other reasons.
    it("let a stream be resumed unless one more crash may condemn the part", () => {
        expect(mayRepeatAfterCrash(createEvidence([1, 19]), part)).toEqual(true);
        expect(mayRepeatAfterCrash(createEvidence([1, 1]), part)).toEqual(false);
        expect(mayRepeatAfterCrash(createEvidence([1, 4, 9, 19]), part)).toEqual(false);
    });

    it("hold other requests back only if no answer with the part had begun", () => {
        expect(mayCrashBeforeAnswer(createEvidence([3]), part)).toEqual(false);
        expect(mayCrashBeforeAnswer(createEvidence([3, 0]), part)).toEqual(true);
    });

    // Guards against refusals of sound requests with a popular part whenever a backend server ends for another reason.
    it("hold other requests back only if the part was not answered shortly before", () => {
        const isHeld = (answeredAt: number): boolean => {
            const evidence = createCrashEvidence(options);
            recordAnswer(evidence, [part], answeredAt);
            recordCrash(evidence, "server", ["request", part], 20_000);
            return mayCrashBeforeAnswer(evidence, part);
        };
        expect([9_000, 11_000, 18_000].map(isHeld)).toEqual([true, false, false]);
    });

    it("take the furthest answer that any gateway has seen", () => {
        const evidence = createEvidence([1, 1, 1]);
        const crash = {
            crashId: "server-0",
            fingerprints: [part],
            age: 0,
            touchedAge: 0,
            events: new Map([[part, 15]]),
        };
        mergeEvidence(evidence, { crashes: [crash], answers: [] }, 3_000);
        expect(isCondemned(evidence)).toEqual(false);
    });

    it("find two parts that crash backend servers at the same time", () => {
        const evidence = createCrashEvidence(options);
        for (let index = 0; index < 6; index++) {
            recordCrash(
                evidence,
                `server-${index}`,
                [`request-${index}`, index % 2 === 0 ? part : other],
                index * 1_000,
            );
        }
        expect([part, other].map(fingerprint => isCondemned(evidence, fingerprint))).toEqual([true, true]);
    });

    it("condemn a part at one service only", () => {
        const [elsewhere] = computePartFingerprints("other service", ["bad0c0de"]) as [string];
        expect(isCondemned(createEvidence([0, 0, 0]), elsewhere)).toEqual(false);
        expect(elsewhere).not.toEqual(part);
    });
});
