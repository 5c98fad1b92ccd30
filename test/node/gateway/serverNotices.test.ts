import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createServerNotices } from "../../../src/node/gateway/serverNotices.js";
import { createManualClock } from "../../../src/utils/index.js";

describe("notices that gateways tell each other", () => {
    // Guards against gateways that remind each other of backend servers which are gone, without end.
    it("are not taken over once they are older than they are remembered", () => {
        const logger = pino({ level: "silent" });
        const notices = createServerNotices({ clock: createManualClock(), logger, memory: 1_000, maximumPause: 1_000 });
        let told = 0;
        notices.onLeaving(() => told++);
        notices.mergeLeaving([{ lifetime: "i-1/1", age: 1_001 }, { lifetime: "i-2/1", age: 999 }]);
        expect(notices.listLeaving().map(({ lifetime }) => lifetime)).toEqual(["i-2/1"]);
        expect(told).toEqual(1);
    });

    it("are not told for a pause, which each gateway is asked for itself", () => {
        const logger = pino({ level: "silent" });
        const notices = createServerNotices({ clock: createManualClock(), logger, memory: 1_000, maximumPause: 1_000 });
        let told = 0;
        notices.onLeaving(() => told++);
        notices.recordHead("i-1/1", { leaving: false, pause: 500 });
        expect([notices.listLeaving().length, told]).toEqual([0, 0]);
    });
});
