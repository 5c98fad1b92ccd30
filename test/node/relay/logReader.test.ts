import { expect } from "earl";
import { describe, it } from "node:test";
import { err, ok } from "true-myth/result";
import { createStateStore, startLogReader } from "../../../src/node/relay/index.js";
import { createError, type ErrorCode, type LogPage, type LogPort } from "../../../src/types/index.js";
import { createManualClock, createSeededRandom } from "../../../src/utils/index.js";
import { createEntries, silentLogger, waitFor } from "../daemonSupport.js";

type Read = ErrorCode | { readonly first: number; readonly last: number; readonly head: number; };

/** Reads scripted pages; each read advances the clock by a second, and the last one ends the reader. */
async function readScript(known: number, script: readonly Read[]) {
    const clock = createManualClock();
    const store = createStateStore();
    store.applyEntries(createEntries(1, known));
    const asked: number[] = [];
    const remaining = [...script];
    const log: LogPort = {
        append: () => Promise.resolve(ok(0)),
        read: afterOffset => {
            asked.push(afterOffset);
            clock.advance(1_000);
            const next = remaining.shift()!;
            if (typeof next === "string") {
                return Promise.resolve(err(createError(next, "read log", "log", "failed")));
            }
            const page: LogPage = {
                firstOffset: next.first,
                headOffset: next.head,
                entries: createEntries(Math.max(next.first, afterOffset + 1), next.last),
            };
            return Promise.resolve(ok(page));
        },
    };
    const reader = startLogReader({
        log,
        store,
        clock,
        random: createSeededRandom(1),
        logger: silentLogger,
        shouldRead: () => remaining.length > 0,
        retention: 86_400_000,
        retryMilliseconds: 1,
    });
    await waitFor(() => remaining.length === 0);
    const { reachable } = reader;
    await reader[Symbol.asyncDispose]();
    return { asked, applied: store.state.appliedOffset, knownAt: store.logKnownAt, reachable };
}

describe("reader of the log", () => {
    const cases: readonly {
        readonly name: string;
        readonly known: number;
        readonly script: readonly Read[];
        readonly asked: readonly number[];
        readonly applied: number;
        readonly knownAt: number | undefined;
    }[] = [
        {
            name: "an empty log",
            known: 0,
            script: [{ first: 0, last: 0, head: 0 }],
            asked: [0],
            applied: 0,
            knownAt: 0,
        },
        {
            name: "pages up to the head",
            known: 0,
            script: [{ first: 1, last: 2, head: 4 }, { first: 1, last: 4, head: 4 }],
            asked: [0, 2],
            applied: 4,
            knownAt: 1_000,
        },
        {
            name: "only a part of the log",
            known: 0,
            script: [{ first: 1, last: 2, head: 4 }],
            asked: [0],
            applied: 2,
            knownAt: undefined,
        },
        {
            name: "an outage and the log after it",
            known: 1,
            script: ["LOG_UNREACHABLE", "LOG_UNREACHABLE", { first: 1, last: 2, head: 2 }],
            asked: [1, 1, 1],
            applied: 2,
            knownAt: 2_000,
        },
        {
            name: "a log truncated below the applied offset",
            known: 5,
            script: [{ first: 3, last: 6, head: 6 }],
            asked: [5],
            applied: 6,
            knownAt: 0,
        },
        {
            name: "a log truncated above the applied offset",
            known: 3,
            script: ["LOG_TRUNCATED", { first: 8, last: 9, head: 9 }, { first: 8, last: 10, head: 10 }],
            asked: [3, 0, 9],
            applied: 10,
            knownAt: 2_000,
        },
        {
            name: "a truncated log that is lost again before it is read",
            known: 3,
            script: ["LOG_TRUNCATED", "LOG_UNREACHABLE", "LOG_TRUNCATED", { first: 8, last: 9, head: 9 }],
            asked: [3, 0, 3, 0],
            applied: 9,
            knownAt: 3_000,
        },
    ];
    for (const { name, known, script, asked, applied, knownAt } of cases) {
        // Guards against records that are read twice or skipped, and against a state that looks newer than its last
        // read.
        it(`reads ${name}`, async () => {
            const result = await readScript(known, script);
            expect(result).toEqual({ asked: [...asked], applied, knownAt, reachable: true });
        });
    }
});
