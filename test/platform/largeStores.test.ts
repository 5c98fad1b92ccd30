import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { describe, it } from "node:test";
import { createRecordDecoder } from "../../platform/recordDecoder.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { topicLimits } from "../../src/runtime/replica/index.js";
import type { KeyedRecord } from "../../src/types/index.js";
import { expectOk } from "../node/support.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";

const list = "keyed.servers";
const address = "127.0.0.1:80";

/** Counts the bytes that records keep in memory, those of the responses included that they are parts of. */
function countHeldBytes(records: readonly KeyedRecord[]): number {
    const buffers = new Set(records.flatMap(({ value }) => value === undefined ? [] : [value.buffer]));
    return [...buffers].reduce((sum, { byteLength }) => sum + byteLength, 0);
}

describe("store with more than a process can hold", () => {
    // Guards against gateways that hold what they cannot read until a read has ended, at each start.
    it("is read without the bytes of large entries of other writers", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        for (let index = 0; index < 40; index++) {
            store.writeBytes(list, `odd-${index}`, randomBytes(262_000));
        }
        store.write(list, "i-1", createServerRecord(address));
        const since = expectOk(await client.readSince("backend-servers", 0, 0));
        const newest = expectOk(await client.readNewest("backend-servers"));
        for (const { records } of [since, newest]) {
            expect(records.length).toEqual(41);
            expect(countHeldBytes(records)).toBeLessThan(1_000);
        }
    });

    // Guards against one response that takes as much memory as all records of a topic.
    it("is read in pages of limited size, without gaps", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        const count = 10_000;
        for (let index = 0; index < count; index++) {
            store.write(list, `i-${index}`, createServerRecord(address));
        }
        const offsets: number[] = [];
        let largestPage = 0;
        for (let next = 0, hasMore = true; hasMore;) {
            const page = expectOk(await client.readSince("backend-servers", next, 0));
            offsets.push(...page.records.map(({ offset }) => offset));
            largestPage = Math.max(largestPage, page.records.length);
            next = page.nextOffset;
            hasMore = page.hasMore === true;
        }
        expect(offsets).toEqual(Array.from({ length: count }, (...[, index]) => index));
        expect(largestPage).toBeLessThan(count / 4);
    });

    // Guards against a start that collects the records of all pages before it leaves any out.
    it("is read up to the limit of the topic when the newest records are", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        const { records: limit } = topicLimits.instances;
        for (let index = 0; index < limit + 500; index++) {
            store.write("keyed.goldcrestpoint-instances", `gateway-${index}`, { address });
        }
        const { nextOffset, records } = expectOk(await client.readNewest("instances"));
        expect([records.length, nextOffset]).toEqual([limit, limit + 500]);
        expect(records.every(({ offset }) => offset < limit)).toEqual(true);
    });

    // Guards against a backend server that is not used because its entry has large fields that are not read.
    it("lists backend servers whose entries have large fields", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        const entry = createServerRecord(address, { models: [{ name: "m", version: 2 }], note: "x".repeat(250_000) });
        store.write(list, "i-1", entry);
        const [record] = expectOk(await client.readSince("backend-servers", 0, 0)).records;
        expect(record!.value!.byteLength).toBeLessThan(500);
        const listed = createRecordDecoder().decodeBackendServer("i-1", record!.value!);
        expect([listed?.address, listed?.weights?.version, listed?.slots]).toEqual([address, 2, 4]);
    });
});
