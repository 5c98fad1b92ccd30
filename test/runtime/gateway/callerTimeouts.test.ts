import { expect } from "earl";
import { describe, it } from "node:test";
import { createCallerTimeoutTable, estimatePriorWait } from "../../../src/runtime/gateway/index.js";

describe("estimated time that a caller has already waited", () => {
    it("is close to 0 for callers with the typical timeout", () => {
        const table = createCallerTimeoutTable();
        expect([6_000, 6_001, 5_999, 6_000].map(callerTimeout => estimatePriorWait(table, "a", callerTimeout) > 10))
            .toEqual([
                false,
                false,
                false,
                false,
            ]);
    });

    it("is the difference between the typical timeout and that of a caller who retries", () => {
        const table = createCallerTimeoutTable();
        for (let index = 0; index < 20; index++) {
            estimatePriorWait(table, "a", 6_000);
        }
        expect(estimatePriorWait(table, "a", 4_800)).toEqual(1_200);
        expect(estimatePriorWait(table, "a", 6_000)).toEqual(0);
    });

    it("is known even if up to three in four callers retry", () => {
        const table = createCallerTimeoutTable();
        for (let index = 0; index < 200; index++) {
            estimatePriorWait(table, "a", index % 3 === 0 ? 6_000 : 4_000);
        }
        expect(estimatePriorWait(table, "a", 4_000)).toEqual(2_000);
    });

    it("adapts when callers state shorter timeouts, and keeps routes separate", () => {
        const table = createCallerTimeoutTable();
        for (let index = 0; index < 64; index++) {
            estimatePriorWait(table, "a", 6_000);
        }
        expect(estimatePriorWait(table, "b", 1_500)).toEqual(0);
        for (let index = 0; index < 64; index++) {
            estimatePriorWait(table, "a", 2_000);
        }
        expect(estimatePriorWait(table, "a", 2_000)).toEqual(0);
    });

    it("keeps a bounded number of routes", () => {
        const table = createCallerTimeoutTable();
        for (let index = 0; index < 5_000; index++) {
            estimatePriorWait(table, `route-${index}`, 1_000);
        }
        expect(table.routes.size).toEqual(4_096);
    });
});
