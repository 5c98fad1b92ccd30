import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createRecordDecoder } from "../../platform/recordDecoder.js";
import { createRecordChecks } from "../../src/node/gateway/membership/recordChecks.js";
import { createRecordStore } from "../../src/node/replica/index.js";
import type { KeyedRecord, KeyedTopic } from "../../src/types/index.js";
import { createManualClock } from "../../src/utils/index.js";
import { createServerRecord } from "./standIn/serverRecord.js";

const topics: readonly KeyedTopic[] = [
    "operator",
    "backend-servers",
    "instances",
    "condemned-requests",
    "weight-sources",
];
const checks = createRecordChecks(createRecordDecoder());
const entry = Buffer.from(JSON.stringify(createServerRecord("127.0.0.1:80")));

/** Store whose records are appended one after the other, as reads of the log return them. */
function startStore() {
    const store = createRecordStore(topics, createManualClock(), pino({ level: "silent" }), { checks });
    const heard: KeyedRecord[] = [];
    store.onChange((...[, records]) => heard.push(...records));
    return {
        store,
        heard,
        receive: (topic: KeyedTopic, values: readonly (readonly [string, Uint8Array])[]): void => {
            const offset = store.topic(topic).nextOffset;
            store.receive({
                topic,
                page: {
                    records: values.map(([key, value], index) => ({ key, value, offset: offset + index })),
                    nextOffset: offset + values.length,
                },
                complete: false,
                age: 0,
                source: "log",
                peer: "log",
            });
        },
    };
}

describe("records of other writers that cannot be read", () => {
    for (const topic of topics) {
        // Guards against gateways and agents that exceed their memory by unusable records, after each start.
        it(`are not kept, whether few and large or many and small: ${topic}`, () => {
            const { receive, store } = startStore();
            receive(topic, Array.from({ length: 20 }, (...[, index]) => [`large-${index}`, randomBytes(262_000)]));
            receive(topic, Array.from({ length: 5_000 }, (...[, index]) => [`small-${index}`, randomBytes(20)]));
            expect(store.countBytes()).toEqual(0);
        });
    }

    // Guards against a backend server that stays in use under an entry that no longer names it.
    it("replace a known entry by an empty one, once for each change", () => {
        const { heard, receive, store } = startStore();
        receive("backend-servers", [["i-1", entry]]);
        receive("backend-servers", [["i-1", randomBytes(262_000)]]);
        receive("backend-servers", [["i-1", randomBytes(262_000)]]);
        expect(heard.map(({ value }) => value?.byteLength)).toEqual([entry.byteLength, 0]);
        expect(store.countBytes()).toEqual("i-1".length);
    });

    // Guards against handlers and logs that work through an entry each time that its writer repeats it.
    it("are reported once if they are written again and again", () => {
        const { heard, receive } = startStore();
        for (let written = 0; written < 5; written++) {
            receive("backend-servers", [["odd", randomBytes(100)]]);
        }
        expect(heard.map(({ key, value }) => [key, value?.byteLength])).toEqual([["odd", 0]]);
    });
});

describe("records that are kept", () => {
    // Guards against small entries that keep the messages in memory that brought them beside large ones.
    it("do not refer to the message that they were part of", () => {
        const { receive, store } = startStore();
        const message = Buffer.concat([entry, randomBytes(1_000_000)]);
        receive("backend-servers", [["i-1", message.subarray(0, entry.byteLength)]]);
        const { value } = store.topic("backend-servers").records.get("i-1")!;
        expect(value!.buffer.byteLength).toEqual(entry.byteLength);
    });
});
