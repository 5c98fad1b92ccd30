import { expect } from "earl";
import { describe, it } from "node:test";
import { computePaceCheckDelay, isOnPace } from "../../../src/runtime/gateway/index.js";

describe("pace of an answer", () => {
    it("is checked after half of the time that remained when the head arrived", () => {
        expect(computePaceCheckDelay(1_200)).toEqual(600);
    });

    it("suffices if half of a body of known length has arrived by then", () => {
        expect(isOnPace(500, 1_000)).toEqual(true);
        expect(isOnPace(499, 1_000)).toEqual(false);
    });

    it("never suffices for a body of unknown length", () => {
        expect(isOnPace(1_000_000, undefined)).toEqual(false);
    });
});
