import { expect } from "earl";
import { describe, it } from "node:test";
import { createManualClock } from "../../../src/utils/index.js";
import { createTestRateLimits } from "./testRateLimits.js";

const lifetime = "i-1/1";

function stated(rateLimit: number | "unreadable" | undefined) {
    return { proven: true, rateLimit };
}

describe("rate limit of a backend server at a gateway", () => {
    it("applies as long as answers state it", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        limits.recordHead(lifetime, stated(2), 0);
        expect(limits.find(lifetime)).toEqual({ nextAt: 500, interval: 500 });
        clock.advance(100);
        limits.recordHead(lifetime, stated(undefined), 50);
        expect(limits.find(lifetime)).toEqual(undefined);
    });

    // Guards against a limit that a late answer to an earlier request lifts.
    it("stays after an answer without it to a request that was sent before", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        clock.advance(100);
        limits.recordHead(lifetime, stated(2), 0);
        limits.recordHead(lifetime, stated(undefined), 50);
        expect(limits.find(lifetime) === undefined).toEqual(false);
    });

    it("stays after a refusal without it", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        limits.recordHead(lifetime, stated(2), 0);
        clock.advance(100);
        limits.recordHead(lifetime, { proven: false, rateLimit: undefined }, 50);
        expect(limits.find(lifetime) === undefined).toEqual(false);
    });

    it("is not begun, changed or ended by a header that cannot be read", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        limits.recordHead(lifetime, stated("unreadable"), 0);
        expect(limits.find(lifetime)).toEqual(undefined);
        limits.recordHead(lifetime, stated(2), 0);
        clock.advance(100);
        limits.recordHead(lifetime, stated("unreadable"), 50);
        expect(limits.find(lifetime)?.interval).toEqual(500);
    });

    // Guards against a gateway that sends at the full rate until an answer tells it the limit again.
    it("is learned from another gateway, and so is its end", () => {
        const clock = createManualClock();
        const [first, second] = ["gateway-1", "gateway-2"].map(self =>
            createTestRateLimits(clock, self, ["gateway-1", "gateway-2"])
        ) as [ReturnType<typeof createTestRateLimits>, ReturnType<typeof createTestRateLimits>];
        first.recordHead(lifetime, stated(2), 0);
        second.merge(first.share());
        expect(second.find(lifetime)?.interval).toEqual(1_000);
        clock.advance(100);
        first.recordHead(lifetime, stated(undefined), 50);
        second.merge(first.share());
        expect(second.find(lifetime)).toEqual(undefined);
    });

    it("is not replaced by an older statement of another gateway", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        clock.advance(1_000);
        limits.recordHead(lifetime, stated(2), 900);
        limits.merge([{ lifetime, requestsPerSecond: undefined, age: 500 }]);
        expect(limits.find(lifetime) === undefined).toEqual(false);
    });

    for (const requestsPerSecond of [Number.NaN, -1, Infinity]) {
        it(`is not replaced by ${requestsPerSecond} from another gateway`, () => {
            const clock = createManualClock();
            const limits = createTestRateLimits(clock);
            limits.recordHead(lifetime, stated(2), 0);
            clock.advance(100);
            limits.merge([{ lifetime, requestsPerSecond, age: 0 }]);
            expect(limits.find(lifetime)?.interval).toEqual(500);
        });
    }

    // Guards against messages that state the ends of limits for as long as they are remembered.
    it("is no longer passed on some time after its end", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        limits.recordHead(lifetime, stated(2), 0);
        clock.advance(100);
        limits.recordHead(lifetime, stated(undefined), 50);
        expect(limits.share().length).toEqual(1);
        clock.advance(30_000);
        expect(limits.share().length).toEqual(0);
    });

    // Guards against a first share that is computed as if there were no other gateway.
    it("is divided among gateways that registered after the start", () => {
        const gateways = ["gateway-1"];
        const limits = createTestRateLimits(createManualClock(), "gateway-1", gateways);
        gateways.push("gateway-2");
        limits.recordHead(lifetime, stated(2), 0);
        expect(limits.find(lifetime)?.interval).toEqual(1_000);
    });

    it("of another lifetime does not apply", () => {
        const limits = createTestRateLimits(createManualClock());
        limits.recordHead(lifetime, stated(2), 0);
        expect(limits.find("i-1/2")).toEqual(undefined);
    });

    it("is passed on at once when it begins, and not with each answer that states it again", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        let changes = 0;
        limits.onSignificantChange(() => changes++);
        limits.recordHead(lifetime, stated(2), 0);
        limits.recordHead(lifetime, stated(2.1), 0);
        expect(changes).toEqual(1);
    });

    it("is one of a bounded number that are passed on", () => {
        const limits = createTestRateLimits(createManualClock());
        for (let server = 0; server < 500; server++) {
            limits.recordHead(`i-${server}/1`, stated(2), 0);
        }
        expect(limits.share().length).toEqual(32);
        expect(limits.share().at(-1)?.lifetime).toEqual("i-499/1");
    });

    it("gives a gateway its new share when the gateways change", () => {
        const clock = createManualClock();
        const gateways = ["gateway-1"];
        const limits = createTestRateLimits(clock, "gateway-1", gateways);
        limits.recordHead(lifetime, stated(2), 0);
        gateways.push("gateway-2");
        limits.update();
        expect(limits.find(lifetime)?.interval).toEqual(1_000);
    });

    it("ends after a long time without a statement", () => {
        const clock = createManualClock();
        const limits = createTestRateLimits(clock);
        limits.recordHead(lifetime, stated(2), 0);
        clock.advance(600_001);
        limits.update();
        expect(limits.find(lifetime)).toEqual(undefined);
    });
});
