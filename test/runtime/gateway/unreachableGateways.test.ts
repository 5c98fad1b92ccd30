import { expect } from "earl";
import { describe, it } from "node:test";
import { createUnreachableGateways, type UnreachableGateways } from "../../../src/runtime/gateway/index.js";

const goneAfter = 30_000;

/** Lets calls to a gateway fail every second from one time to another. */
function fail(gateways: UnreachableGateways, address: string, from: number, to: number): void {
    for (let now = from; now <= to; now += 1_000) {
        gateways.recordFailed(address, now);
    }
}

describe("gateways that do not respond", () => {
    it("are gone after some time without any response", () => {
        const gateways = createUnreachableGateways({ goneAfter });
        fail(gateways, "a", 0, 30_000);
        expect(gateways.listGone(29_999)).toEqual([]);
        expect(gateways.listGone(30_000)).toEqual(["a"]);
    });

    it("are not gone after two calls, or if a call between was answered", () => {
        const gateways = createUnreachableGateways({ goneAfter });
        gateways.recordFailed("a", 0);
        gateways.recordFailed("a", 60_000);
        fail(gateways, "b", 0, 20_000);
        gateways.recordReached("b");
        fail(gateways, "b", 21_000, 50_000);
        expect(gateways.listGone(50_000)).toEqual([]);
        expect(gateways.listGone(51_000)).toEqual(["b"]);
    });

    // Guards against a process that drops all others because it stood still while its own calls failed.
    it("are not gone because this process stood still", () => {
        const gateways = createUnreachableGateways({ goneAfter });
        fail(gateways, "a", 0, 3_000);
        gateways.restart(60_000);
        expect(gateways.listGone(60_000)).toEqual([]);
        fail(gateways, "a", 61_000, 90_000);
        expect(gateways.listGone(90_000)).toEqual(["a"]);
    });

    // Guards against two sides of a partition that drop the registrations of each other again and again.
    it("are gone after twice the time each time that they have registered themselves again", () => {
        const gateways = createUnreachableGateways({ goneAfter });
        gateways.recordDropped("a");
        fail(gateways, "a", 0, 60_000);
        expect([gateways.listGone(59_999), gateways.listGone(60_000)]).toEqual([[], ["a"]]);
        Array.from({ length: 20 }, () => gateways.recordDropped("a"));
        fail(gateways, "a", 0, 32 * goneAfter);
        expect([gateways.listGone(32 * goneAfter - 1), gateways.listGone(32 * goneAfter)]).toEqual([[], ["a"]]);
    });

    it("are called in turn, and forgotten once they are no longer registered", () => {
        const gateways = createUnreachableGateways({ goneAfter });
        gateways.recordFailed("a", 0);
        gateways.recordFailed("b", 100);
        expect(gateways.findNextToCall()).toEqual("a");
        gateways.recordFailed("a", 200);
        expect(gateways.findNextToCall()).toEqual("b");
        gateways.keepOnly(new Set(["a"]));
        expect(gateways.findNextToCall()).toEqual("a");
        gateways.recordReached("a");
        expect(gateways.findNextToCall()).toEqual(undefined);
    });
});
