import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { ok } from "true-myth/result";
import {
    createRecordStore,
    createStallMonitor,
    followLog,
    type LogFollowerOptions,
} from "../../../src/node/replica/index.js";
import type { KeyedLogPort, KeyedRecord } from "../../../src/types/index.js";
import { createManualClock, createSystemClock } from "../../../src/utils/index.js";

const logger = pino({ level: "silent" });

function createRecords(...keys: readonly string[]): KeyedRecord[] {
    return keys.map((key, offset) => ({ key, offset, value: Buffer.from(key) }));
}

const options: LogFollowerOptions = {
    readWait: 1,
    pollInterval: 1,
    changeInterval: 1,
    retryAfter: 1,
    longestRetry: 1,
    relayStaleAfter: 1,
    rankDelay: 1,
    maximumRankDelay: 300,
};

describe("record that makes a listener fail", () => {
    it("costs no other record and no other listener", () => {
        const store = createRecordStore(["backend-servers"], createManualClock(), logger);
        const applied: string[] = [];
        const heard: string[] = [];
        store.onChange((...[, records]) =>
            records.forEach(({ key }) => {
                if (key === "odd") {
                    throw new RangeError("odd");
                }
                applied.push(key);
            })
        );
        store.onChange((...[, records]) => heard.push(...records.map(({ key }) => key)));
        store.receive({
            topic: "backend-servers",
            page: { records: createRecords("odd", "i-1", "i-2"), nextOffset: 3 },
            complete: false,
            age: 0,
            source: "log",
            peer: "log",
        });
        expect([applied, heard]).toEqual([["i-1", "i-2"], ["odd", "i-1", "i-2"]]);
    });
});

describe("follower of the log whose read throws", () => {
    it("reads again", async () => {
        const clock = createSystemClock();
        const store = createRecordStore(["operator"], clock, logger);
        const ended = new AbortController();
        let reads = 0;
        const readPage: KeyedLogPort["readNewest"] = () => {
            reads++;
            if (reads < 3) {
                throw new RangeError("odd");
            }
            ended.abort();
            return Promise.resolve(ok({ records: createRecords("config"), nextOffset: 1 }));
        };
        await followLog(
            {
                log: { readNewest: readPage, readSince: readPage, put: () => Promise.resolve(ok(0)) },
                store,
                self: "gateway-1",
                listRelays: () => [],
                clock,
                stalls: createStallMonitor({ clock, logger }),
                random: { next: () => 0 },
                logger,
                options,
                signal: ended.signal,
            },
            "operator",
            "wait",
        );
        expect([reads, store.topic("operator").records.size]).toEqual([3, 1]);
    });
});
