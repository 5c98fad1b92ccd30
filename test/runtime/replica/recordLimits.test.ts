import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createReplica,
    measureRecord,
    mergePage,
    selectUnknown,
    topicLimits,
} from "../../../src/runtime/replica/index.js";
import type { KeyedRecord, KeyedTopic } from "../../../src/types/index.js";

const value = Buffer.from("entry");

/** Replica of one topic, to whose log records are appended. */
function createLog(topic: KeyedTopic, isProtected?: (topic: KeyedTopic, key: string) => boolean) {
    const replica = createReplica([topic], isProtected).topics.get(topic)!;
    return {
        replica,
        append: (keys: readonly string[], content: Uint8Array = value): readonly KeyedRecord[] => {
            const records = keys.map((key, index) => ({ key, value: content, offset: replica.nextOffset + index }));
            const page = { records, nextOffset: replica.nextOffset + keys.length };
            return mergePage(replica, { page, complete: false, currentAt: 1 });
        },
        listKeys: () =>
            [...replica.records.values()].filter(record => record.value !== undefined).map(({ key }) => key),
    };
}

function createKeys(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (...[, index]) => `${prefix}-${index}`);
}

describe("topic with more records than a process keeps", () => {
    for (const topic of Object.keys(topicLimits) as KeyedTopic[]) {
        const { bytes, records } = topicLimits[topic];

        // Guards against a memory that grows with the number of readable records of other writers.
        it(`keeps no more small ones than its limit: ${topic}`, () => {
            const log = createLog(topic);
            for (let written = 0; written < 4; written++) {
                log.append(createKeys(`odd-${written}`, records));
            }
            expect(log.listKeys().length).toEqual(records);
            expect(log.replica.records.size).toBeLessThan(records + 1_001);
        });

        // Guards against a memory that grows with the size of readable records of other writers.
        it(`keeps no more bytes of large ones than its limit: ${topic}`, () => {
            const log = createLog(topic);
            for (const key of createKeys("odd", 100)) {
                log.append([key], Buffer.alloc(262_000));
            }
            const kept = [...log.replica.records.values()].reduce((sum, record) => sum + measureRecord(record), 0);
            expect(kept).toBeLessThan(bytes + 1_000 * 1_024);
        });
    }

    // Guards against backend servers that are taken out of use by what another writer adds to the list.
    it("keeps the backend servers that repeat their entries", () => {
        const log = createLog("backend-servers");
        const running = createKeys("i", 20);
        for (let written = 0; written < 10; written++) {
            log.append(running);
            log.append(createKeys(`odd-${written}`, 2_000));
        }
        expect(log.listKeys().filter(key => running.includes(key))).toEqual(running);
    });

    // Guards against gateways that are forgotten, as they register only once.
    it("keeps the gateways that it knew first", () => {
        const log = createLog("instances");
        const gateways = createKeys("gateway", 20);
        log.append(gateways);
        log.append(createKeys("odd", 5_000));
        log.append([gateways[3]!], Buffer.from("registered again"));
        expect(log.listKeys().slice(0, 20)).toEqual(gateways);
    });

    // Guards against a configuration that is dropped because others have filled the operator's topic.
    it("keeps and updates protected records", () => {
        const log = createLog("operator", (...[, key]) => key === "config");
        log.append(createKeys("version/odd", topicLimits.operator.records));
        log.append(["config"], Buffer.alloc(440_000));
        log.append(["config"], Buffer.alloc(880_000));
        expect(log.replica.records.get("config")?.value?.byteLength).toEqual(880_000);
        expect(log.listKeys().length).toEqual(topicLimits.operator.records);
    });

    // Guards against followers that keep what their relay has removed.
    it("removes the same records at a follower", () => {
        const log = createLog("backend-servers");
        const follower = createReplica(["backend-servers"]).topics.get("backend-servers")!;
        const relay = (): void => {
            const { carriedChanges, era, nextOffset } = follower;
            const { complete, records } = selectUnknown(log.replica, { era, nextOffset, carriedChanges });
            const page = { records: [...records], nextOffset: log.replica.nextOffset };
            mergePage(follower, { page, complete, newestOnly: true, currentAt: 1 });
        };
        for (let written = 0; written < 6; written++) {
            log.append(createKeys(`odd-${written}`, 3_000));
            relay();
        }
        const followed = [...follower.records.values()].filter(record => record.value !== undefined);
        expect(followed.map(({ key }) => key).sort()).toEqual([...log.listKeys()].sort());
    });
});
