import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    type CrashEvidence,
    createCrashEvidence,
    digestEvidence,
    expireEvidence,
    exportEvidence,
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

function createEvidence(crashes: Readonly<Record<string, readonly string[]>> = {}): CrashEvidence {
    const evidence = createCrashEvidence(options);
    for (const [crashId, fingerprints] of Object.entries(crashes)) {
        recordCrash(evidence, crashId, fingerprints, 0);
    }
    return evidence;
}

/** Sends the evidence of one process to another one. */
function share(from: CrashEvidence, to: CrashEvidence, now = 0): void {
    mergeEvidence(to, exportEvidence(from, now), now);
}

describe("evidence of requests that crash backend servers", () => {
    // Guards against condemning requests that were only in progress beside the one that crashes servers, and against
    // missing that one.
    const cases: readonly (readonly [string, Readonly<Record<string, readonly string[]>>, readonly string[]])[] = [
        ["too few crashes", { a: ["fatal"], b: ["fatal"] }, []],
        ["enough crashes", { a: ["fatal"], b: ["fatal"], c: ["fatal"] }, ["fatal"]],
        [
            "neighbours of some crashes",
            { a: ["fatal", "x"], b: ["fatal", "x", "y"], c: ["fatal", "y"], d: ["fatal", "x"] },
            ["fatal"],
        ],
        ["two requests in the same crashes", { a: ["fatal", "x"], b: ["fatal", "x"], c: ["fatal", "x"] }, []],
        [
            "one more crash decides between them",
            { a: ["fatal", "x"], b: ["fatal", "x"], c: ["fatal", "x"], d: ["fatal"] },
            ["fatal"],
        ],
        [
            "one more crash that does not decide",
            { a: ["fatal", "x"], b: ["fatal", "x"], c: ["fatal", "x"], d: ["fatal", "x"] },
            ["fatal", "x"],
        ],
        [
            "two requests with crashes of their own",
            { a: ["one"], b: ["one"], c: ["one"], d: ["two"], e: ["two"], f: ["two", "one"], g: ["two"] },
            ["one", "two"],
        ],
    ];
    for (const [name, crashes, expected] of cases) {
        it(`condemns only the requests that the crashes identify: ${name}`, () => {
            const evidence = createEvidence(crashes);
            const fingerprints = [...new Set(Object.values(crashes).flat())].sort();
            expect(fingerprints.filter(row => readCrashStanding(evidence, row, 0) === "condemned")).toEqual([
                ...expected,
            ]);
        });
    }

    it("counts a crash once, whichever processes saw it", () => {
        const evidence = createEvidence({ a: ["fatal"] });
        share(createEvidence({ a: ["fatal", "x"] }), evidence);
        recordCrash(evidence, "a", ["fatal"], 5_000);
        expect(evidence.suspects.get("fatal")).toEqual({ crashes: 1, condemned: false });
    });

    it("adds up what several processes saw at the same time", () => {
        const processes = [
            createEvidence({ a: ["fatal"] }),
            createEvidence({ b: ["fatal"] }),
            createEvidence({ c: ["fatal"] }),
        ];
        processes.slice(1).forEach(process => share(process, processes[0]!));
        expect(readCrashStanding(processes[0]!, "fatal", 0)).toEqual("condemned");
    });

    it("rules out a request that is answered, also long after", () => {
        const evidence = createEvidence({ a: ["popular"], b: ["popular"] });
        expect(recordAnswer(evidence, ["popular"], 10)).toEqual({ crashIds: [], answered: ["popular"] });
        recordCrash(evidence, "c", ["popular"], 20_000);
        expect(readCrashStanding(evidence, "popular", 20_000)).toEqual("clear");
        expireEvidence(evidence, 45_000);
        expect(readCrashStanding(evidence, "popular", 45_000)).toEqual("clear");
    });

    it("clears a condemned request whose answer another process has seen", () => {
        const evidence = createEvidence({ a: ["popular"], b: ["popular"], c: ["popular"] });
        const other = createEvidence();
        recordAnswer(other, ["popular"], 0);
        const toShare = mergeEvidence(other, exportEvidence(evidence, 0), 0);
        expect(toShare).toEqual({ crashIds: ["a", "b", "c"], answered: ["popular"] });
        mergeEvidence(evidence, exportEvidence(other, 0, toShare), 0);
        expect(readCrashStanding(evidence, "popular", 0)).toEqual("clear");
        expect(digestEvidence(evidence)).toEqual(digestEvidence(other));
    });

    it("forgets a suspect, and a condemned request once it has not been sent for long", () => {
        const evidence = createEvidence({ a: ["suspect"], b: ["fatal"], c: ["fatal"], d: ["fatal"] });
        expireEvidence(evidence, 60_001);
        expect([...evidence.crashes.keys()]).toEqual(["b", "c", "d"]);
        readCrashStanding(evidence, "fatal", 500_000);
        expireEvidence(evidence, 1_099_999);
        expect(readCrashStanding(evidence, "fatal", 1_099_999)).toEqual("condemned");
        expireEvidence(evidence, 1_700_000);
        expect(evidence.crashes.size).toEqual(0);
    });

    it("stays within its bound, and drops condemned requests last", () => {
        const evidence = createCrashEvidence({ ...options, maximumSuspects: 10 });
        ["a", "b", "c"].forEach(crashId => recordCrash(evidence, crashId, ["fatal"], 0));
        for (let count = 0; count < 20; count++) {
            recordCrash(evidence, `crash-${count}`, [`x-${count}`, `y-${count}`], 1 + count);
            recordAnswer(evidence, [`answered-${count}`], 1 + count);
        }
        expect([...evidence.crashes.values()].reduce((sum, row) => sum + row.fingerprints.size, 0)).toBeLessThanOrEqual(
            10,
        );
        expect(evidence.answers.size).toBeLessThanOrEqual(10);
        expect(readCrashStanding(evidence, "fatal", 50)).toEqual("condemned");
    });

    it("leaves the last crash before the verdict to a caller that sends the request again", () => {
        expect(mayRepeatAfterCrash(createEvidence({ a: ["x"] }), "x")).toEqual(true);
        expect(mayRepeatAfterCrash(createEvidence({ a: ["x"], b: ["x"] }), "x")).toEqual(false);
    });

    it("is the same for all processes, in whatever order they tell each other", () => {
        const event = fastCheck.tuple(
            fastCheck.integer({ min: 0, max: 2 }),
            fastCheck.constantFrom("a", "b", "c", "d", "e"),
            fastCheck.uniqueArray(fastCheck.constantFrom("x", "y", "z"), { minLength: 1 }),
        );
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(event, { maxLength: 12 }),
                fastCheck.array(fastCheck.nat(8)),
                (events, steps) => {
                    const processes = [createEvidence(), createEvidence(), createEvidence()];
                    events.forEach(([process, crashId, rows]) => recordCrash(processes[process]!, crashId, rows, 0));
                    steps.forEach(step => share(processes[step % 3]!, processes[Math.floor(step / 3)]!));
                    for (const from of [0, 1, 2, 0, 1, 2]) {
                        processes.forEach(to => share(processes[from]!, to));
                    }
                    const [first, ...others] = processes.map(({ suspects }) => new Map([...suspects].sort()));
                    others.forEach(other => expect(other).toEqual(first!));
                    expect(new Set(processes.map(digestEvidence)).size).toEqual(1);
                },
            ),
            { seed: 20, numRuns: 300 },
        );
    });
});
