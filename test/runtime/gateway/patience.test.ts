import { expect } from "earl";
import { describe, it } from "node:test";
import { createPatienceTable, estimateWaited } from "../../../src/runtime/gateway/index.js";

describe("estimated time that a caller has already waited", () => {
    it("is close to 0 for callers with the typical patience", () => {
        const table = createPatienceTable();
        expect([6_000, 6_001, 5_999, 6_000].map(patience => estimateWaited(table, "a", patience) > 10)).toEqual([
            false,
            false,
            false,
            false,
        ]);
    });

    it("is the difference between the typical patience and that of a caller who retries", () => {
        const table = createPatienceTable();
        for (let index = 0; index < 20; index++) {
            estimateWaited(table, "a", 6_000);
        }
        expect(estimateWaited(table, "a", 4_800)).toEqual(1_200);
        expect(estimateWaited(table, "a", 6_000)).toEqual(0);
    });

    it("is known even if up to three in four callers retry", () => {
        const table = createPatienceTable();
        for (let index = 0; index < 200; index++) {
            estimateWaited(table, "a", index % 3 === 0 ? 6_000 : 4_000);
        }
        expect(estimateWaited(table, "a", 4_000)).toEqual(2_000);
    });

    it("adapts when callers become less patient, and keeps routes separate", () => {
        const table = createPatienceTable();
        for (let index = 0; index < 64; index++) {
            estimateWaited(table, "a", 6_000);
        }
        expect(estimateWaited(table, "b", 1_500)).toEqual(0);
        for (let index = 0; index < 64; index++) {
            estimateWaited(table, "a", 2_000);
        }
        expect(estimateWaited(table, "a", 2_000)).toEqual(0);
    });

    it("keeps a bounded number of routes", () => {
        const table = createPatienceTable();
        for (let index = 0; index < 5_000; index++) {
            estimateWaited(table, `route-${index}`, 1_000);
        }
        expect(table.routes.size).toEqual(4_096);
    });
});
