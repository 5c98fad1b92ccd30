import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    computePartFingerprints,
    type CrashEvidence,
    createCrashEvidence,
    digestEvidence,
    expireEvidence,
    exportEvidence,
    hasRivalParts,
    mayRepeatAfterCrash,
    mergeEvidence,
    readCrashStanding,
    recordAnswer,
    recordCrash,
    resolveRetryOptions,
} from "../../../src/runtime/retry/index.js";

const options = resolveRetryOptions({
    maximumCrashes: 3,
    suspicionDuration: 60_000,
    condemnedDuration: 600_000,
    answerMemory: 30_000,
});
const names = ["first", "subject", "other", "fatal"] as const;
const [first, subject, other, fatal] = computePartFingerprints("service", names) as [string, string, string, string];
const nameOf = new Map([first, subject, other, fatal].map((fingerprint, index) => [fingerprint, names[index]!]));

/** Crash: time in milliseconds, and the fingerprints in progress. */
type Crash = readonly [number, readonly string[]];

function createEvidence(crashes: readonly Crash[] = []): CrashEvidence {
    const evidence = createCrashEvidence(options);
    crashes.forEach(([at, causes]) => recordCrash(evidence, `server-${at}`, causes, at));
    return evidence;
}

function listCondemned({ suspects }: CrashEvidence): string[] {
    return [...suspects].filter(([, { condemned }]) => condemned)
        .map(([fingerprint]) => nameOf.get(fingerprint) ?? fingerprint).sort();
}

function share(from: CrashEvidence, to: CrashEvidence, now: number): void {
    mergeEvidence(to, exportEvidence(from, now), now);
}

describe("evidence of parts of prompts that crash backend servers", () => {
    // Guards against requests that are no two alike and crash one backend server after another with a common part, and
    // against condemning what was only in progress beside them.
    const verdicts: readonly (readonly [string, readonly Crash[], readonly string[]])[] = [
        ["too few crashes", [[0, ["a", fatal]], [1_000, ["b", fatal]]], []],
        ["enough crashes of different requests", [[0, ["a", fatal]], [1_000, ["b", fatal]], [2_000, ["c", fatal]]], [
            "fatal",
        ]],
        [
            "neighbours of some crashes",
            [
                [0, ["a", fatal, "x", subject]],
                [1_000, ["b", fatal, "y", other]],
                [2_000, ["c", fatal, "z", subject, other]],
            ],
            ["fatal"],
        ],
        [
            "neighbours that are repeated, each in two crashes",
            [[0, ["a", fatal, "x"]], [1_000, ["b", fatal, "x", "y"]], [2_000, ["c", fatal, "y"]]],
            ["fatal"],
        ],
        [
            "crashes for other reasons",
            [[0, ["a", fatal]], [900, ["x", subject]], [1_800, ["b", fatal]], [2_700, ["y", other]], [3_600, [
                "c",
                fatal,
            ]]],
            ["fatal"],
        ],
        [
            "two parts in the same crashes",
            [[0, ["a", first, fatal]], [1_000, ["b", first, fatal]], [2_000, ["c", first, fatal]], [3_000, [
                "d",
                first,
                fatal,
            ]]],
            [],
        ],
        [
            "one part in the crashes of another one and in few others",
            [[0, ["a", first, fatal]], [1_000, ["b", first, fatal]], [2_000, ["c", first, fatal]], [3_000, [
                "x",
                first,
            ]]],
            [],
        ],
        [
            "a part in many crashes beside one that was in half of them",
            [
                [0, ["a", subject, fatal]],
                [1_000, ["b", subject, fatal]],
                [2_000, ["c", subject, fatal]],
                [3_000, ["d", fatal]],
                [4_000, ["e", fatal]],
            ],
            ["fatal"],
        ],
        [
            "one request that comes again",
            [[0, ["a", subject]], [1_000, ["a", subject]], [2_000, ["a", subject]], [3_000, ["a", subject]]],
            ["a"],
        ],
        [
            "requests that come again",
            [
                [0, ["a", fatal]],
                [1_000, ["a", fatal]],
                [2_000, ["a", fatal]],
                [3_000, ["b", fatal]],
                [4_000, ["c", fatal]],
            ],
            ["a", "fatal"],
        ],
        [
            "parts that stay in the same crashes",
            [0, 1_000, 2_000, 3_000, 4_000, 5_000].map(at => [at, [`request-${at}`, subject, fatal]]),
            [],
        ],
        [
            "requests that come again beside a part that stays with them",
            [
                [0, ["a", subject, fatal]],
                [1_000, ["a", subject, fatal]],
                [2_000, ["a", subject, fatal]],
                [3_000, ["x", subject]],
            ],
            ["a"],
        ],
    ];
    for (const [name, crashes, expected] of verdicts) {
        it(`condemns only the part that the crashes identify: ${name}`, () => {
            expect(listCondemned(createEvidence(crashes))).toEqual([...expected]);
        });
    }

    // Guards against condemning popular parts when a rack or an availability zone fails.
    it("counts backend servers that crash at the same moment once", () => {
        const evidence = createEvidence([0, 20, 80, 120, 190].map(at => [at, [`request-${at}`, subject]]));
        expect(listCondemned(evidence)).toEqual([]);
        recordCrash(evidence, "later", ["x", subject], 10_000);
        expect(listCondemned(evidence)).toEqual([]);
        recordCrash(evidence, "again", ["y", subject], 20_000);
        expect(listCondemned(evidence)).toEqual(["subject"]);
    });

    const answers: readonly (readonly [string, number, readonly string[]])[] = [
        ["after the crashes", 2_500, []],
        ["shortly before the last one", 1_200, []],
        ["long before all, since a part may become harmful", -1_100, ["subject"]],
    ];
    for (const [name, answeredAt, expected] of answers) {
        it(`rules out a part that is answered: ${name}`, () => {
            const evidence = createEvidence();
            const events: (readonly [number, () => void])[] = [0, 1_000, 2_000].map(at => [
                at,
                () => void recordCrash(evidence, `server-${at}`, [`request-${at}`, subject], at),
            ]);
            events.push([answeredAt, () => void recordAnswer(evidence, [subject], answeredAt)]);
            events.sort(([left], [right]) => left - right).forEach(([, happen]) => happen());
            expect(listCondemned(evidence)).toEqual([...expected]);
        });
    }

    // Guards against refusing every request of a route because its common first part was in all crashes.
    it("finds the part among those in the same crashes once an answer rules the others out", () => {
        const evidence = createEvidence([0, 1_000, 2_000].map(at => [at, [`request-${at}`, first, subject, fatal]]));
        recordAnswer(evidence, [subject], 2_100);
        expect(listCondemned(evidence)).toEqual([]);
        expect(recordAnswer(evidence, [first], 2_200)).toEqual({ crashIds: [], answered: [first] });
        expect(listCondemned(evidence)).toEqual(["fatal"]);
    });

    it("clears parts whose answer another process has seen, and then tells no more of it", () => {
        const crashes: readonly Crash[] = [0, 1_000, 2_000].map(at => [at, [`request-${at}`, subject]]);
        const evidence = createEvidence();
        recordAnswer(evidence, [subject], -5_000);
        crashes.forEach(([at, causes]) => recordCrash(evidence, `server-${at}`, causes, at));
        const witness = createEvidence();
        recordAnswer(witness, [subject], 2_050);
        const news = mergeEvidence(witness, exportEvidence(evidence, 2_100), 2_100);
        const answer = exportEvidence(witness, 2_100, news);
        expect(mergeEvidence(evidence, answer, 2_100).answered).toEqual([subject]);
        expect(listCondemned(evidence)).toEqual([]);
        expect(mergeEvidence(evidence, answer, 2_101)).toEqual({ crashIds: [], answered: [] });
        expect(digestEvidence(evidence)).toEqual(digestEvidence(witness));
    });

    // Guards against two processes that disagree on a part because the message with its answer was lost.
    it("has another digest if only one process knows the answer that rules a part out", () => {
        const crash: Crash = [0, ["a", subject]];
        const [informed, uninformed] = [createEvidence(), createEvidence()];
        for (const evidence of [informed, uninformed]) {
            recordAnswer(evidence, [subject], -5_000);
            recordCrash(evidence, "server-0", crash[1], 0);
        }
        recordAnswer(informed, [subject], 100);
        expect(digestEvidence(informed) === digestEvidence(uninformed)).toEqual(false);
    });

    // Guards against refusing the common first part for good when no backend server answers for a while, and against
    // further crashes while two parts cannot be distinguished.
    it("holds back requests with all parts that may be the cause, and lets those with one of them show which it is", () => {
        const crashes: readonly Crash[] = [0, 1_000, 2_000].map(at => [at, [`request-${at}`, first, fatal]]);
        const evidence = createEvidence(crashes);
        expect([[first, fatal], [first, subject], [fatal, subject]].map(parts => hasRivalParts(evidence, parts)))
            .toEqual([true, false, false]);
        const answered = createEvidence(crashes);
        recordAnswer(answered, [first], 2_100);
        expect(listCondemned(answered)).toEqual(["fatal"]);
        recordCrash(evidence, "server", ["x", first], 3_000);
        expect(listCondemned(evidence)).toEqual([]);
        recordCrash(evidence, "another", ["y", first], 4_000);
        expect(listCondemned(evidence)).toEqual(["first"]);
    });

    // Guards against two crashes for each new request while the crashes of an earlier one are put down to it alone.
    // Guards against parts that always come together and crash further backend servers each time they are forgotten.
    it("holds back requests with several possible causes for as long as those of a condemned part", () => {
        const together = ["a", "b", "c", "d", "e"].map((request, index): Crash => [
            index * 1_000,
            [request, fatal, subject],
        ]);
        const evidence = createEvidence(together);
        for (let now = 5_000; now <= 600_000; now += 1_000) {
            expireEvidence(evidence, now);
            expect(hasRivalParts(evidence, [fatal, subject])).toEqual(true);
        }
        expireEvidence(evidence, 700_000);
        expect(hasRivalParts(evidence, [fatal, subject])).toEqual(false);
    });

    it("allows no repeat of another request with a part of a condemned request", () => {
        const evidence = createEvidence([0, 1_000, 2_000].map(at => [at, ["a", fatal]]));
        expect(listCondemned(evidence)).toEqual(["a"]);
        expect([fatal, subject].map(part => mayRepeatAfterCrash(evidence, part))).toEqual([false, true]);
    });

    // Guards against seconds without an answer to anyone while a gateway compares the parts of many long prompts.
    it("compares a bounded number of parts that were in different crashes with each other", () => {
        const parts = computePartFingerprints(
            "service",
            Array.from({ length: 200 }, (...[, index]) => `part-${index}`),
        );
        // Each part is missing in another crash, so that no two are in the same ones.
        const crashes = parts.map((
            ...[, index]
        ): Crash => [index * 1_000, parts.filter((...[, part]) => part !== index)]);
        const evidence = createEvidence(crashes);
        const compared = parts.filter(part => evidence.suspects.get(part)?.rivals !== undefined);
        expect(compared.length).toBeGreaterThan(0);
        expect(compared.length).toBeLessThanOrEqual(32);
    });

    it("leaves parts out of a crash that an answer has ruled out", () => {
        const evidence = createEvidence();
        recordAnswer(evidence, [first], 0);
        recordCrash(evidence, "server", ["a", first, fatal], 500);
        expect(exportEvidence(evidence, 500).crashes[0]!.fingerprints).toEqual(["a", fatal]);
    });

    // Guards against a part that stays refused for good because requests with it keep coming.
    it("ends the condemnation of a part a fixed time after its crashes, also if requests with it still come", () => {
        const crashes: readonly Crash[] = [0, 1_000, 2_000].map(at => [at, [`request-${at}`, fatal]]);
        const evidence = createEvidence([...crashes, [3_000, ["request-0", fatal]], [4_000, ["request-0", fatal]]]);
        expect(listCondemned(evidence)).toEqual(["fatal", "request-0"]);
        for (let now = 10_000; now <= 600_000; now += 10_000) {
            ["request-0", fatal].forEach(cause => readCrashStanding(evidence, cause, now));
            expireEvidence(evidence, now);
            expect(readCrashStanding(evidence, fatal, now)).toEqual("condemned");
        }
        const late = createEvidence();
        expireEvidence(evidence, 604_001);
        share(evidence, late, 604_001);
        [evidence, late].forEach(row => expect(readCrashStanding(row, fatal, 604_001)).toEqual("clear"));
        [610_000, 611_000].forEach(at => recordCrash(evidence, `new-${at}`, [`new-${at}`, fatal], at));
        expect(listCondemned(evidence)).toEqual(["request-0"]);
        recordCrash(evidence, "new", ["new", fatal], 612_000);
        expect(listCondemned(evidence)).toEqual(["fatal", "request-0"]);
    });

    it("stays within its bound, and drops condemned parts last", () => {
        const evidence = createCrashEvidence({ ...options, maximumSuspects: 12 });
        [0, 1_000, 2_000].forEach(at => recordCrash(evidence, `server-${at}`, [`request-${at}`, fatal], at));
        for (let count = 0; count < 40; count++) {
            const causes = [`x-${count}`, ...computePartFingerprints("service", [`part-${count}`])];
            recordCrash(evidence, `crash-${count}`, causes, 3_000 + count);
            computePartFingerprints("service", [`answered-${count}`])
                .forEach(cause => recordAnswer(evidence, [cause], 3_000 + count));
        }
        const stored = [...evidence.crashes.values()].reduce((sum, row) => sum + row.fingerprints.size, 0);
        expect(stored).toBeLessThanOrEqual(12);
        expect(evidence.answers.size).toBeLessThanOrEqual(12);
        expect(listCondemned(evidence)).toEqual(["fatal"]);
    });

    it("is the same for all processes, in whatever order they tell each other", () => {
        const event = fastCheck.record({
            process: fastCheck.integer({ min: 0, max: 2 }),
            second: fastCheck.integer({ min: 0, max: 9 }),
            causes: fastCheck.uniqueArray(fastCheck.constantFrom("x", "y", first, subject, fatal), { minLength: 1 }),
            isAnswer: fastCheck.boolean(),
        });
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(event, { maxLength: 16 }),
                fastCheck.array(fastCheck.nat(8)),
                (events, steps) => {
                    const processes = [createEvidence(), createEvidence(), createEvidence()];
                    for (const { causes, isAnswer, process, second } of events) {
                        const evidence = processes[process]!;
                        if (isAnswer) {
                            recordAnswer(evidence, [causes[0]!], second * 900);
                        }
                        else {
                            recordCrash(evidence, `server-${second}`, causes, second * 900);
                        }
                    }
                    steps.forEach(step => share(processes[step % 3]!, processes[Math.floor(step / 3)]!, 10_000));
                    for (const from of [0, 1, 2, 0, 1, 2]) {
                        processes.forEach(to => share(processes[from]!, to, 10_000));
                    }
                    const [one, ...others] = processes.map(({ suspects }) => new Map([...suspects].sort()));
                    others.forEach(row => expect(row).toEqual(one!));
                    expect(new Set(processes.map(digestEvidence)).size).toEqual(1);
                },
            ),
            { seed: 21, numRuns: 500 },
        );
    });
});
