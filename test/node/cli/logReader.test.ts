import { expect } from "earl";
import { describe, it } from "node:test";
import { createLogReader } from "../../../src/node/cli/logReader.js";
import type { FoldPort } from "../../../src/node/cli/types.js";
import * as fold from "../../../src/runtime/state/index.js";
import type { ConfigurationRecord } from "../../../src/types/index.js";
import { createMemoryLog } from "./support.js";

function createRecord(id: string, base: number): ConfigurationRecord {
    return {
        kind: "configuration",
        id,
        deployment: "members",
        base,
        writtenAt: "2026-01-01T00:00:00.000Z",
        writer: "operator",
        declaration: { schemaVersion: 1, kind: "service", replicas: { "sando-hall": base } },
    };
}

describe("log reader of the operator commands", () => {
    // Guards against a state that lacks the records after the first page or the first read.
    it("reads all pages, and continues where the last read ended", async () => {
        const log = createMemoryLog();
        let base = 0;
        for (const id of ["a", "b", "c", "d", "e"]) {
            base = log.write(createRecord(id, base));
        }
        const reader = createLogReader(log, fold);
        expect((await reader.readToHead()).isOk).toEqual(true);
        expect(reader.listRevisions("members").map(({ revision }) => revision)).toEqual([1, 2, 3, 4, 5]);
        log.write(createRecord("late", 3));
        log.write(createRecord("f", base));
        await reader.readToHead();
        expect(reader.state.configurations.get("members")?.revision).toEqual(6);
        expect(["a", "f", "late"].map(id => reader.findAccepted(id)?.revision)).toEqual([1, 6, undefined]);
    });

    // Guards against a truncated log whose remaining entries are applied as if none were missing.
    it("passes the first offset of a truncated log to the fold once", async () => {
        const log = createMemoryLog();
        log.write(createRecord("expired", 0));
        log.write(createRecord("a", 3));
        log.write(createRecord("b", 6));
        log.entries.shift();
        const begins: number[] = [];
        const observed: FoldPort = {
            ...fold,
            beginAfterTruncation: (state, firstOffset) => {
                begins.push(firstOffset);
                fold.beginAfterTruncation(state, firstOffset);
            },
        };
        await createLogReader(log, observed).readToHead();
        expect(begins).toEqual([6]);
    });

    // Guards against a partial state that counts as complete.
    it("reports a failed read", async () => {
        const log = createMemoryLog();
        log.failingReads = 1;
        expect((await createLogReader(log, fold).readToHead()).isErr).toEqual(true);
    });
});
