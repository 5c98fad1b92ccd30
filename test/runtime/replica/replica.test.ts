import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    createReplica,
    dateRecords,
    mayReadDirectly,
    mergePage,
    type ReplicaPosition,
    selectUnknown,
} from "../../../src/runtime/replica/index.js";
import type { KeyedRecord } from "../../../src/types/index.js";

function createTopic() {
    return createReplica(["operator"]).topics.get("operator")!;
}

function record(key: string, value: string | undefined, offset: number): KeyedRecord {
    return { key, value: value === undefined ? undefined : Buffer.from(value), offset };
}

function at(nextOffset: number): ReplicaPosition {
    return { era: 0, nextOffset, carriedChanges: 0 };
}

function readValues(topic: ReturnType<typeof createTopic>): Record<string, string> {
    const rows = [...topic.records.values()].filter(({ value }) => value !== undefined);
    return Object.fromEntries(rows.map(({ key, value }) => [key, Buffer.from(value!).toString()]));
}

describe("replica of keyed records", () => {
    it("keeps the newest record of each key and reports what changed", () => {
        const topic = createTopic();
        mergePage(topic, {
            page: { records: [record("a", "1", 0), record("b", "1", 1)], nextOffset: 2 },
            complete: true,
            currentAt: 10,
        });
        const changed = mergePage(topic, {
            page: { records: [record("a", "2", 2), record("b", "1", 3)], nextOffset: 4 },
            complete: false,
            currentAt: 20,
        });
        expect(changed.map(({ key }) => key)).toEqual(["a"]);
        expect(readValues(topic)).toEqual({ a: "2", b: "1" });
        expect(topic.nextOffset).toEqual(4);
    });

    it("ignores records that an outdated sender repeats", () => {
        const topic = createTopic();
        mergePage(topic, { page: { records: [record("a", "new", 7)], nextOffset: 8 }, complete: true, currentAt: 10 });
        const changed = mergePage(topic, {
            page: { records: [record("a", "old", 3), record("gone", "x", 2)], nextOffset: 5 },
            complete: true,
            currentAt: 30,
        });
        expect(changed).toEqual([]);
        expect(readValues(topic)).toEqual({ a: "new" });
    });

    it("drops keys that a newer complete page does not list", () => {
        const topic = createTopic();
        mergePage(topic, { page: { records: [record("a", "1", 0)], nextOffset: 1 }, complete: true, currentAt: 10 });
        const changed = mergePage(topic, {
            page: { records: [record("b", "1", 4)], nextOffset: 5 },
            complete: true,
            currentAt: 20,
        });
        expect(changed.map(({ key, value }) => [key, value === undefined])).toEqual([["a", true], ["b", false]]);
        expect(readValues(topic)).toEqual({ b: "1" });
    });

    it("relays a value with the offset at which it changed, so that heartbeats are not relayed", () => {
        const topic = createTopic();
        mergePage(topic, { page: { records: [record("a", "1", 0)], nextOffset: 1 }, complete: true, currentAt: 10 });
        mergePage(topic, { page: { records: [record("a", "1", 1)], nextOffset: 2 }, complete: false, currentAt: 20 });
        expect(selectUnknown(topic, at(1)).records).toEqual([]);
        expect(selectUnknown(topic, at(0)).records.map(({ key }) => key)).toEqual(["a"]);
    });

    it("converges in whatever order relays deliver pages", () => {
        const history = fastCheck.array(
            fastCheck.record({ key: fastCheck.constantFrom("a", "b", "c"), value: fastCheck.option(fastCheck.nat(3)) }),
            { minLength: 1, maxLength: 12 },
        );
        fastCheck.assert(fastCheck.property(history, fastCheck.infiniteStream(fastCheck.nat(5)), (changes, picks) => {
            const records = changes.map(({ key, value }, offset) => record(key, value?.toString(), offset));
            const source = createTopic();
            mergePage(source, { page: { records, nextOffset: records.length }, complete: false, currentAt: 1 });
            const relays = [createTopic(), createTopic()];
            const follower = createTopic();
            for (let step = 0; step < 30; step++) {
                const relay = relays[picks.next().value! % 2]!;
                const end = Math.min(records.length, relay.nextOffset + (picks.next().value! % 4));
                const part = records.slice(relay.nextOffset, end);
                mergePage(relay, { page: { records: part, nextOffset: end }, complete: false, currentAt: step });
                const sender = relays[picks.next().value! % 2]!;
                const { complete, records: sent } = selectUnknown(sender, at(follower.nextOffset));
                if (sender.nextOffset > follower.nextOffset) {
                    mergePage(follower, {
                        page: { records: sent, nextOffset: sender.nextOffset },
                        complete,
                        currentAt: step,
                    });
                }
            }
            const { complete, records: rest } = selectUnknown(source, at(follower.nextOffset));
            mergePage(follower, { page: { records: rest, nextOffset: source.nextOffset }, complete, currentAt: 99 });
            expect(readValues(follower)).toEqual(readValues(source));
        }));
    });
});

describe("direct reads of the log", () => {
    const options = { relayStaleAfter: 900, rankDelay: 150, maximumRankDelay: 300 };
    const input = { instances: ["a", "b", "c"], startedAt: 0, options };

    it("are made by the first instance, and by the others once the relayed records are old", () => {
        expect(mayReadDirectly({ ...input, self: "a", relayedCurrentAt: 5_000, now: 5_000 })).toEqual(true);
        expect(mayReadDirectly({ ...input, self: "b", relayedCurrentAt: 5_000, now: 5_900 })).toEqual(false);
        expect(mayReadDirectly({ ...input, self: "b", relayedCurrentAt: 5_000, now: 5_901 })).toEqual(true);
        expect(mayReadDirectly({ ...input, self: "c", relayedCurrentAt: 5_000, now: 6_000 })).toEqual(false);
        expect(mayReadDirectly({ ...input, self: "c", relayedCurrentAt: 5_000, now: 6_051 })).toEqual(true);
    });

    // Guards against a list that counts as outdated because many instances of lower rank have ended.
    it("wait no longer than the limit, however many instances have a lower rank", () => {
        const instances = Array.from({ length: 360 }, (...[, index]) => `g-${String(index).padStart(3, "0")}`);
        for (const self of ["g-003", "g-004", "g-100", "g-359"]) {
            expect(mayReadDirectly({ ...input, instances, self, relayedCurrentAt: 5_000, now: 6_200 })).toEqual(false);
            expect(mayReadDirectly({ ...input, instances, self, relayedCurrentAt: 5_000, now: 6_201 })).toEqual(true);
        }
    });
});

describe("dates of known records", () => {
    function createKnown(writtenAfter: number | undefined) {
        const topic = createTopic();
        const records = [{ ...record("a", "1", 3), writtenAfter }];
        mergePage(topic, { page: { records, nextOffset: 4 }, complete: true, currentAt: 10 });
        return topic;
    }

    it("become later when a page repeats the record with a later one", () => {
        for (const known of [undefined, 2]) {
            const topic = createKnown(known);
            const repeated = { ...record("a", "1", 3), writtenAfter: 503 };
            expect(dateRecords(topic, { records: [repeated], nextOffset: 4 }).length).toEqual(1);
            expect(topic.records.get("a")!.writtenAfter).toEqual(503);
        }
    });

    // Guards against a date that moves by the time that each relayed page takes on its way.
    it("stay as they are for an earlier date or one that is little later, another record or one of an earlier era", () => {
        const topic = createKnown(6);
        const repeated = [
            { ...record("a", "1", 3), writtenAfter: 5 },
            { ...record("a", "1", 3), writtenAfter: 506 },
            { ...record("a", "0", 2), writtenAfter: 9_000 },
            { ...record("a", "1", 3), writtenAfter: 9_000, era: 1 },
            record("a", "1", 3),
        ];
        const dated = repeated.flatMap(row => dateRecords(topic, { records: [row], nextOffset: 4 }));
        expect(dated).toEqual([]);
        expect(topic.records.get("a")!.writtenAfter).toEqual(6);
    });
});
