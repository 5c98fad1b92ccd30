import { expect } from "earl";
import { describe, it } from "node:test";
import { createStoreClient } from "../../platform/storeClient.js";
import { expectOk } from "../node/support.js";
import { startStoreStandIn, type StoreFault } from "./standIn/storeStandIn.js";

/** Creates an entry that can be parsed but is nested too deeply to be encoded again. */
function createNestedEntry(where: string, sequence: number): Buffer {
    const nested = "[".repeat(100_000) + "]".repeat(100_000);
    const entries: Readonly<Record<string, string>> = {
        "the whole value": nested,
        "an unknown field": `{"service":"a","sequence":${sequence},"other":${nested}}`,
        "the models": `{"service":"a","sequence":${sequence},"models":${nested}}`,
    };
    return Buffer.from(entries[where]!);
}

describe("client of the platform's store", () => {
    it("reads every page of the newest records, and continues at the end offset of the first page", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        for (let index = 0; index < 7; index++) {
            store.write("keyed.op", `version/m${index}`, { model: `m${index}`, version: 1 });
        }
        store.drop("keyed.op", "version/m3");
        const page = expectOk(await client.readNewest("operator"));
        expect(page.records.map(({ key }) => key)).toEqual([0, 1, 2, 4, 5, 6].map(index => `version/m${index}`));
        expect(page.nextOffset).toEqual(8);
    });

    it("reads records in order, with dropped keys, and waits for the next one", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        store.write("keyed.op", "config", { version: 1 });
        store.drop("keyed.op", "config");
        const page = expectOk(await client.readSince("operator", 0, 0));
        expect(page.records.map(({ value }) => value === undefined)).toEqual([false, true]);
        const waiting = client.readSince("operator", 2, 2_000);
        store.write("keyed.op", "config", { version: 2 });
        expect(expectOk(await waiting).records.map(({ offset }) => offset)).toEqual([2]);
    });

    it("reports that records have expired", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        store.write("keyed.op", "config", { version: 1 });
        store.compact("keyed.op");
        store.write("keyed.op", "config", { version: 2 });
        const page = await client.readSince("operator", 0, 0);
        expect(page.isErr && page.error.code).toEqual("LOG_TRUNCATED");
        expect(expectOk(await client.readNewest("operator")).records.length).toEqual(1);
    });

    it("gives heartbeats of a backend server equal values", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        store.write("keyed.servers", "i-1", { service: "a", sequence: 1 });
        store.write("keyed.servers", "i-1", { service: "a", sequence: 2 });
        const { records } = expectOk(await client.readSince("backend-servers", 0, 0));
        expect(Buffer.compare(records[0]!.value!, records[1]!.value!)).toEqual(0);
    });

    it("passes on records of other writers that are not valid JSON", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        store.writeBytes("keyed.servers", "i-1", Buffer.of(0xFF, 0x00, 0x7B));
        expect(expectOk(await client.readNewest("backend-servers")).records.length).toEqual(1);
    });

    for (const where of ["the whole value", "an unknown field", "the models"]) {
        it(`passes on the records beside an entry that is nested too deeply: ${where}`, async () => {
            await using store = await startStoreStandIn();
            await using client = createStoreClient({ address: store.address });
            store.write("keyed.servers", "i-1", { service: "a", sequence: 1 });
            store.writeBytes("keyed.servers", "i-2", createNestedEntry(where, 1));
            store.writeBytes("keyed.servers", "i-2", createNestedEntry(where, 2));
            store.write("keyed.servers", "i-3", { service: "a", sequence: 1 });
            const since = expectOk(await client.readSince("backend-servers", 0, 0));
            const newest = expectOk(await client.readNewest("backend-servers"));
            expect(since.records.map(({ key }) => key)).toEqual(["i-1", "i-2", "i-2", "i-3"]);
            expect(newest.records.map(({ key }) => key)).toEqual(["i-1", "i-2", "i-3"]);
            expect(since.records.map(({ value }) => value!.length > 0)).toEqual([true, false, false, true]);
        });
    }

    it("writes a record that others read", async () => {
        await using store = await startStoreStandIn();
        await using client = createStoreClient({ address: store.address });
        expect(expectOk(await client.put("instances", "gateway-1", Buffer.from("{}")))).toEqual(0);
        expect(expectOk(await client.readNewest("instances")).records.map(({ key }) => key)).toEqual(["gateway-1"]);
    });

    const faults: readonly (readonly [StoreFault, string, string])[] = [
        ["busy", "LOG_UNREACHABLE", "LOG_UNREACHABLE"],
        ["many", "LOG_UNREACHABLE", "LOG_UNREACHABLE"],
        ["reset", "LOG_UNREACHABLE", "APPEND_AMBIGUOUS"],
        ["silent", "LOG_UNREACHABLE", "APPEND_AMBIGUOUS"],
    ];
    for (const [fault, readCode, writeCode] of faults) {
        it(`reports a store that is ${fault}`, async () => {
            await using store = await startStoreStandIn();
            await using client = createStoreClient({ address: store.address });
            store.setFault(fault);
            const [read, written] = await Promise.all([
                client.readNewest("operator"),
                client.put("instances", "gateway-1", Buffer.from("{}")),
            ]);
            expect(read.isErr && read.error.code).toEqual(readCode as never);
            expect(written.isErr && written.error.code).toEqual(writeCode as never);
        });
    }

    for (const fault of ["lost", "failed", "unreadable"] as const) {
        it(`reports a write whose response is ${fault} as ambiguous, since it may have taken effect`, async () => {
            await using store = await startStoreStandIn();
            await using client = createStoreClient({ address: store.address });
            store.setFault(fault);
            const written = await client.put("instances", "gateway-1", Buffer.from("{}"));
            expect(written.isErr && written.error.mayHaveTakenEffect).toEqual(true);
            expect(written.isErr && written.error.code).toEqual("APPEND_AMBIGUOUS");
            store.setFault("none");
            expect(expectOk(await client.readNewest("instances")).records.length).toEqual(1);
        });
    }
});
