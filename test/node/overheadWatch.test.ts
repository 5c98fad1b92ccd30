import { expect } from "earl";
import { describe, it } from "node:test";
import { hasExcessiveOverhead } from "../../src/node/httpClient/overheadWatch.js";

describe("overhead of a response", () => {
    it("is not excessive for a head of the maximum size", () => {
        expect(hasExcessiveOverhead(16_384, 0)).toEqual(false);
    });

    it("is not excessive for a body in chunks of one byte", () => {
        const chunk = "1\r\nx\r\n";
        expect(hasExcessiveOverhead(1_000_000 * chunk.length, 1_000_000)).toEqual(false);
    });

    it("is excessive for bytes that belong neither to the head nor to the body", () => {
        expect(hasExcessiveOverhead(100_000, 0)).toEqual(true);
        expect(hasExcessiveOverhead(100_000, 5)).toEqual(true);
    });
});
