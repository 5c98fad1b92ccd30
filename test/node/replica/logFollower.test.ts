import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { err, ok } from "true-myth/result";
import {
    createRecordStore,
    createStallMonitor,
    followLog,
    type StallMonitor,
} from "../../../src/node/replica/index.js";
import {
    createError,
    type KeyedLogPort,
    type KeyedPage,
    type KeyedRecord,
    type KeyedTopic,
} from "../../../src/types/index.js";
import { createManualClock, createSystemClock, type ManualClock, sleep } from "../../../src/utils/index.js";

const logger = pino({ level: "silent" });

/** How the log answers one long poll: after a time on the clock, with a page, or with an error. */
type Answer = (clock: ManualClock, stalls: StallMonitor) => KeyedPage | "unreachable" | "truncated";

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
 * @param changeInterval - time between two reads after a change
 * @returns the records that changed, and the time at which the topic was current
 */
async function follow(answers: readonly Answer[], newest = createPage(0), changeInterval = 1) {
    const clock = createManualClock();
    const store = createRecordStore(["operator"], clock, logger);
    const stalls = createStallMonitor({ clock, logger });
    const ended = new AbortController();
    const changed: KeyedRecord[] = [];
    store.onChange((...[, records]) => changed.push(...records));
    const remaining = [...answers];
    let completeReads = 0;
    const log: KeyedLogPort = {
        readNewest: () => Promise.resolve(ok(completeReads++ === 0 ? createPage(0) : newest)),
        readSince: () => {
            const answer = remaining.shift()?.(clock, stalls) ?? createPage(0);
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
        changeInterval,
        retryAfter: 1,
        longestRetry: 1,
        relayStaleAfter: 1_000,
        rankDelay: 100,
        maximumRankDelay: 300,
    };
    const random = { next: () => 0.5 };
    const { signal } = ended;
    const input = { log, store, self: "g", listRelays: () => [], clock, stalls, random, logger, options, signal };
    await followLog(input, "operator", "wait");
    return { changed, currentAt: store.topic("operator").currentAt };
}

function after(duration: number, answer: ReturnType<Answer>): Answer {
    return (clock, stalls) => {
        for (let passed = 0; passed < duration; passed += 50) {
            clock.advance(50);
            stalls.check();
        }
        return answer;
    };
}

/** Answers after a time in which the process runs, followed by one in which it does not. */
function afterStall(duration: number, stall: number, answer: ReturnType<Answer>): Answer {
    return (clock, stalls) => {
        after(duration, answer)(clock, stalls);
        clock.advance(stall);
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

    // Guards against a frozen process that takes what waited for it as new, and uses older versions for too long.
    it("is the begin of a stall if the long poll was answered during it", async () => {
        const { changed, currentAt } = await follow([afterStall(8_000, 4_000, createPage(1, "a"))]);
        expect(changed.map(({ writtenAfter }) => writtenAfter)).toEqual([8_000]);
        expect(currentAt).toEqual(8_000);
    });

    it("is the time of the answer again for a long poll that was sent after a stall", async () => {
        const { changed } = await follow([
            afterStall(8_000, 4_000, createPage(0)),
            after(2_000, createPage(1, "a")),
        ]);
        expect(changed.map(({ writtenAfter }) => writtenAfter)).toEqual([14_000]);
    });
});

describe("topic of which a read does not return all records", () => {
    // Guards against an outdated list of backend servers that counts as current behind many entries of another writer.
    it("is not current until the rest was read", async () => {
        const partial = { ...createPage(1, "a"), hasMore: true };
        const { currentAt } = await follow([after(500, createPage(0)), after(2_000, partial)]);
        expect(currentAt).toEqual(500);
        const complete = await follow([after(500, partial), after(50, createPage(2, "b"))]);
        expect([complete.currentAt, complete.changed.length]).toEqual([550, 2]);
    });

    // Guards against a list that is read more slowly than another writer adds to it.
    it("is read on at once", async () => {
        const startedAt = performance.now();
        await follow(
            [after(50, { ...createPage(1, "a"), hasMore: true }), after(50, createPage(2))],
            createPage(0),
            10_000,
        );
        expect(performance.now() - startedAt).toBeLessThan(5_000);
    });
});

describe("process that follows a topic through relays", () => {
    // Guards against wake-ups at short intervals while the reader of lower rank reads, and against a late takeover.
    it("does not wake up until the records are too old, or until the registration of the reader ends", async () => {
        const clock = createSystemClock();
        const store = createRecordStore(["backend-servers", "instances"], clock, logger);
        const ended = new AbortController();
        const receive = (topic: KeyedTopic, page: KeyedPage): void =>
            store.receive({ topic, page, complete: true, age: 0, source: "relay", peer: "a", reader: "a" });
        receive("backend-servers", createPage(1, "i-1"));
        receive("instances", createPage(1, "a"));
        let checks = 0;
        let reads = 0;
        const readPage: KeyedLogPort["readNewest"] = () => {
            reads++;
            ended.abort();
            return Promise.resolve(ok(createPage(1)));
        };
        const times = { readWait: 1, pollInterval: 1, changeInterval: 1, retryAfter: 1, longestRetry: 1 };
        const following = followLog(
            {
                log: { readNewest: readPage, readSince: readPage, put: () => Promise.resolve(ok(0)) },
                store,
                self: "b",
                listRelays: () => {
                    checks++;
                    return store.topic("instances").records.get("a")?.value === undefined ? ["b"] : ["a", "b"];
                },
                clock,
                stalls: createStallMonitor({ clock, logger }),
                random: { next: () => 0.5 },
                logger,
                options: { ...times, relayStaleAfter: 60_000, rankDelay: 100, maximumRankDelay: 300 },
                signal: ended.signal,
            },
            "backend-servers",
            "poll",
        );
        await sleep(350);
        expect([checks, reads]).toEqual([1, 0]);
        receive("instances", createPage(2));
        await following;
        expect(reads).toEqual(1);
    });
});
