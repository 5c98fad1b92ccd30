import { expect } from "earl";
import { describe, it } from "node:test";
import {
    expireNotices,
    listLeaving,
    recordLeaving,
    type ServerNoticeTable,
} from "../../../src/runtime/gateway/index.js";

describe("notices of backend servers", () => {
    it("tell the time at which a backend server first said that it leaves", () => {
        const table: ServerNoticeTable = new Map();
        const isNew = [recordLeaving(table, "i-1/1", 0, 1_000), recordLeaving(table, "i-1/1", 700, 1_200)];
        expect(isNew).toEqual([true, false]);
        expect(listLeaving(table, 2_000)).toEqual([{ lifetime: "i-1/1", age: 1_500 }]);
    });

    // Guards against an entry that comes back after a gap and is used although its backend server leaves.
    it("are kept for the retention time after the entry is gone", () => {
        const table: ServerNoticeTable = new Map();
        recordLeaving(table, "i-1/1", 0, 0);
        recordLeaving(table, "i-2/1", 0, 0);
        expireNotices(table, lifetime => lifetime === "i-1/1", 5_000, 6_000);
        expect([...table.keys()]).toEqual(["i-1/1"]);
        expireNotices(table, () => false, 5_000, 10_000);
        expect([...table.keys()]).toEqual(["i-1/1"]);
        expireNotices(table, () => false, 5_000, 11_001);
        expect([...table.keys()]).toEqual([]);
    });
});
