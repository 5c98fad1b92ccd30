import { expect } from "earl";
import { describe, it } from "node:test";
import { createTable } from "../../src/utils/index.js";

interface Row {
    readonly color: string | undefined;
}

describe("table", () => {
    // Guards against an index that still lists a row under its old value.
    it("moves a row to its new index value when it is replaced", () => {
        const table = createTable<string, Row>({ color: row => row.color });
        table.set("a", { color: "red" });
        table.set("a", { color: "blue" });
        expect([...table.lookup("color", "red")]).toEqual([]);
        expect([...table.lookup("color", "blue")]).toEqual(["a"]);
    });

    // Guards against keys of deleted rows that stay in an index.
    it("removes a deleted row from its index", () => {
        const table = createTable<string, Row>({ color: row => row.color });
        table.set("a", { color: "red" });
        expect(table.delete("a")).toEqual(true);
        expect([...table.lookup("color", "red")]).toEqual([]);
        expect(table.size).toEqual(0);
    });
});
