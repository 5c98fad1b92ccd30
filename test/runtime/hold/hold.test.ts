import { expect } from "earl";
import { describe, it } from "node:test";
import { evaluateHold, evaluateReplacement } from "../../../src/runtime/hold/index.js";
import type { HoldInput, ReplacementDecision, WitnessKnowledge } from "../../../src/runtime/hold/index.js";

type Answer = readonly [witness: string, answeredAt: number, logUnreachable?: boolean, uptime?: number];

function hold(answers: readonly Answer[], extra: Partial<HoldInput> = {}) {
    return evaluateHold({
        witnessSets: [["a", "b", "c"]],
        logKnownAt: 0,
        answers: new Map(answers.map(([witness, answeredAt, logUnreachable = true, uptime = 60_000]) => [
            witness,
            { answeredAt, logUnreachable, uptime },
        ])),
        now: 100_000,
        holdDuration: 20_000,
        startedAt: -1,
        preceding: { held: true, reason: "log-fresh", validUntil: 100_001 },
        ...extra,
    });
}

function replace(
    knowledge: Readonly<Record<string, WitnessKnowledge>>,
    now: number,
    preceding?: ReplacementDecision,
    witnessSets: readonly (readonly string[])[] = [["a", "b", "c"]],
): ReplacementDecision {
    return evaluateReplacement({
        revokedAt: 7,
        witnessSets,
        witnesses: new Map(Object.entries(knowledge)),
        preceding: preceding?.confirmation,
        now,
        holdDuration: 20_000,
        holdMargin: 5_000,
    });
}

const knows = (heardAt: number, uptime = heardAt, appliedOffset = 7) => ({ heardAt, uptime, appliedOffset });

describe("hold", () => {
    // Guards against a holder that serves without a valid hold, and one that unloads when only the log is unreachable.
    it("lasts while the log is fresh or a majority of each witness set confirms the outage", () => {
        const cases: readonly (readonly [string, ReturnType<typeof hold>, string, number])[] = [
            ["fresh log", hold([], { logKnownAt: 80_001 }), "log-fresh", 100_001],
            ["old log", hold([], { logKnownAt: 80_000 }), "lapsed", 100_000],
            ["log never read", hold([], { logKnownAt: undefined }), "lapsed", Number.NEGATIVE_INFINITY],
            ["majority", hold([["a", 90_000], ["b", 85_000]]), "log-outage-confirmed", 105_000],
            ["minority", hold([["a", 90_000]]), "lapsed", 20_000],
            ["old answer", hold([["a", 90_000], ["b", 80_000]]), "lapsed", 100_000],
            ["log reachable for one", hold([["a", 90_000], ["b", 90_000, false]]), "lapsed", 20_000],
            ["witness just started", hold([["a", 90_000], ["b", 90_000, true, 19_999]]), "lapsed", 20_000],
            ["no witnesses", hold([], { witnessSets: [] }), "lapsed", 20_000],
            ["empty set", hold([], { witnessSets: [[]] }), "lapsed", 20_000],
            [
                "majority of one set only",
                hold([["a", 90_000], ["b", 90_000]], { witnessSets: [["a", "b", "c"], ["a", "d", "e"]] }),
                "lapsed",
                20_000,
            ],
            [
                "log known before the start",
                hold([], { logKnownAt: 90_000, startedAt: 90_000 }),
                "lapsed",
                Number.NEGATIVE_INFINITY,
            ],
            ["first hold", hold([["a", 90_000], ["b", 90_000]], { preceding: undefined }), "lapsed", 20_000],
            [
                "lapsed before",
                hold([["a", 90_000], ["b", 90_000]], {
                    preceding: { held: true, reason: "log-fresh", validUntil: 99_000 },
                }),
                "lapsed",
                20_000,
            ],
        ];
        for (const [name, { held, reason, validUntil }, expected, until] of cases) {
            expect([name, held, reason, validUntil]).toEqual([name, expected !== "lapsed", expected, until]);
        }
    });

    // Guards against replacing a copy whose holder could still renew its hold by witnesses unaware of the revocation.
    it("has expired once the same majority has known the revocation for the whole waiting time", () => {
        const confirmed = replace({ a: knows(100_000), b: knows(95_000) }, 100_000);
        expect(confirmed).toEqual({
            state: "awaiting-expiry",
            confirmation: { since: 100_000, witnesses: ["a", "b"] },
        });
        const sets = [["a", "b", "c"], ["c", "d", "e"]];
        const unconfirmed: readonly (readonly [string, ReplacementDecision])[] = [
            ["one witness", replace({ a: knows(100_000) }, 100_000)],
            ["other offset", replace({ a: knows(100_000), b: knows(100_000, 100_000, 6) }, 100_000)],
            ["just started", replace({ a: knows(100_000), b: knows(100_000, 19_999) }, 100_000)],
            ["old report", replace({ a: knows(100_000), b: knows(90_000) }, 100_000)],
            ["one of two sets", replace({ a: knows(100_000), b: knows(100_000) }, 100_000, undefined, sets)],
        ];
        for (const [name, { state }] of unconfirmed) {
            expect([name, state]).toEqual([name, "awaiting-confirmation"]);
        }
        const outcomes: readonly (readonly [string, ReplacementDecision, string])[] = [
            ["too early", replace({ a: knows(124_000), b: knows(124_000) }, 124_999, confirmed), "awaiting-expiry"],
            ["in time", replace({ a: knows(125_000), b: knows(125_000) }, 125_000, confirmed), "expired"],
            [
                "no newer message",
                replace({ a: knows(125_000), b: knows(99_999) }, 125_000, confirmed),
                "awaiting-expiry",
            ],
            [
                "restarted",
                replace({ a: knows(125_000), b: knows(125_000, 24_000) }, 125_000, confirmed),
                "awaiting-expiry",
            ],
        ];
        for (const [name, { state }, expected] of outcomes) {
            expect([name, state]).toEqual([name, expected]);
        }
        expect(outcomes[3]![1].confirmation!.since).toEqual(125_000);
    });
});
