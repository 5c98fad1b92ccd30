import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { err, ok } from "true-myth/result";
import { createRecordStore, followLog } from "../../../src/node/replica/index.js";
import { createError, type KeyedLogPort, type KeyedPage, type KeyedRecord } from "../../../src/types/index.js";
import { createManualClock, type ManualClock } from "../../../src/utils/index.js";

const logger = pino({ level: "silent" });

/** How the log answers one long poll: after a time on the clock, with a page, or with an error. */
type Answer = (clock: ManualClock) => KeyedPage | "unreachable" | "truncated";

const errorCodes = { unreachable: "LOG_UNREACHABLE", truncated: "LOG_TRUNCATED" } as const;

function createPage(nextOffset: number, ...keys: readonly string[]): KeyedPage {
    const records = keys.map((key): KeyedRecord => ({ key, value: Buffer.from("{}"), offset: nextOffset - 1 }));
    return { records, nextOffset };
}

/**
 * Follows a log until it has given the answers.
 *
 * @param answers - answers to the long polls after the first complete read, which ends at time 0 without records
 * @param newest - answer to the second complete read
 * @returns the records that changed, and the time at which the topic was current
 */
async function follow(answers: readonly Answer[], newest = createPage(0)) {
    const clock = createManualClock();
    const store = createRecordStore(["operator"], clock, logger);
    const ended = new AbortController();
    const changed: KeyedRecord[] = [];
    store.onChange((...[, records]) => changed.push(...records));
    const remaining = [...answers];
    let completeReads = 0;
    const log: KeyedLogPort = {
        readNewest: () => Promise.resolve(ok(completeReads++ === 0 ? createPage(0) : newest)),
        readSince: () => {
            const answer = remaining.shift()?.(clock) ?? createPage(0);
            if (remaining.length === 0) {
                setImmediate(() => ended.abort());
            }
            return Promise.resolve(
                answer === "unreachable" || answer === "truncated" ?
                    err(createError(errorCodes[answer], "read", "log", answer)) :
                    ok(answer),
            );
        },
        put: () => Promise.resolve(ok(0)),
    };
    const options = {
        readWait: 20_000,
        pollInterval: 1,
        changeInterval: 1,
        retryAfter: 1,
        longestRetry: 1,
        relayStaleAfter: 1_000,
        rankDelay: 100,
    };
    const random = { next: () => 0.5 };
    const { signal } = ended;
    await followLog(
        { log, store, self: "g", listRelays: () => [], clock, random, logger, options, signal },
        "operator",
        "wait",
    );
    return { changed, currentAt: store.topic("operator").currentAt };
}

function after(duration: number, answer: ReturnType<Answer>): Answer {
    return clock => {
        clock.advance(duration);
        return answer;
    };
}

describe("time after which a record of the log was written", () => {
    it("is the time of the answer if a long poll was held open until then", async () => {
        const { changed } = await follow([after(12_000, createPage(1, "a"))]);
        expect(changed.map(({ writtenAfter }) => writtenAfter)).toEqual([12_000]);
    });

    it("is the end of the last good read if the log could not be read since then", async () => {
        const { changed } = await follow([
            after(10_000, createPage(0)),
            after(3_000, "unreachable"),
            after(2_000, "unreachable"),
            after(50, createPage(1, "a")),
        ]);
        expect(changed.map(({ writtenAfter }) => writtenAfter)).toEqual([10_000]);
    });

    // Guards against a version that counts as new, or as of a fixed age, after its history was dropped.
    it("is the end of the last good read if all records were read again", async () => {
        const { changed } = await follow([after(10_000, createPage(0)), after(100, "truncated")], createPage(1, "a"));
        expect(changed.map(({ writtenAfter }) => writtenAfter)).toEqual([10_000]);
    });
});
