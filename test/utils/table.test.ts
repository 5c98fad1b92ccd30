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

    // Guards against a kept list that still has rows which were added, replaced or deleted since.
    it("lists the rows of an index value as they are after each change", () => {
        const table = createTable<string, Row>({ color: row => row.color });
        const first: Row = { color: "red" };
        const changes = [
            () => table.set("a", first),
            () => table.set("b", { color: "red" }),
            () => table.set("a", { color: "blue" }),
            () => table.delete("b"),
        ];
        const listed = changes.map(change => {
            change();
            return table.list("color", "red").length;
        });
        expect(listed).toEqual([1, 2, 1, 0]);
    });
});
