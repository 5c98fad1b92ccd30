import { expect } from "earl";
import { describe, it } from "node:test";
import {
    abandonAttempt,
    type AnswerDelay,
    beginAttempt,
    createAnswerDelay,
    endAttempt,
    mayBeginLate,
} from "../../../src/runtime/gateway/index.js";

const deadline = 10_000;

describe("request that may begin late", () => {
    // Guards against requests that are sent in time, but begin on an older version after the version limit.
    const cases: [string, (delay: AnswerDelay) => void, number, boolean][] = [
        ["without attempts", () => {}, 9_999, false],
        ["while an answer is awaited for a short time", delay => beginAttempt(delay, 5_000), 5_200, false],
        ["right before the deadline, while an answer is awaited", delay => beginAttempt(delay, 9_300), 9_700, true],
        ["seconds before the deadline, after a second of silence", delay => beginAttempt(delay, 6_000), 7_000, true],
        ["long before the deadline, after a second of silence", delay => beginAttempt(delay, 2_000), 3_000, false],
        [
            "after an attempt without an answer was abandoned",
            delay => abandonAttempt(delay, beginAttempt(delay, 5_000), 6_500),
            7_000,
            true,
        ],
        [
            "after a caller left its request early",
            delay => abandonAttempt(delay, beginAttempt(delay, 5_000), 5_050),
            9_500,
            false,
        ],
        [
            "after an answer to a later attempt",
            delay => {
                abandonAttempt(delay, beginAttempt(delay, 5_000), 6_500);
                endAttempt(delay, beginAttempt(delay, 6_600), true);
            },
            7_000,
            false,
        ],
        [
            "after an answer to an earlier attempt only",
            delay => {
                const earlier = beginAttempt(delay, 4_900);
                abandonAttempt(delay, beginAttempt(delay, 5_000), 6_500);
                endAttempt(delay, earlier, true);
            },
            7_000,
            true,
        ],
        [
            "after a later attempt that was not sent",
            delay => {
                abandonAttempt(delay, beginAttempt(delay, 5_000), 6_500);
                endAttempt(delay, beginAttempt(delay, 6_600), false);
            },
            7_000,
            true,
        ],
    ];
    for (const [name, prepare, now, expected] of cases) {
        it(`is ${expected ? "not sent" : "sent"} ${name}`, () => {
            const delay = createAnswerDelay();
            prepare(delay);
            expect(mayBeginLate(delay, deadline, now)).toEqual(expected);
        });
    }
});
