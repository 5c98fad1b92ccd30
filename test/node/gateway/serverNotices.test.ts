import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createServerNotices } from "../../../src/node/gateway/membership/serverNotices.js";
import { createManualClock } from "../../../src/utils/index.js";

describe("notices that gateways exchange", () => {
    // Guards against gateways that keep sending each other the notices of backend servers that no longer run.
    it("are ignored if they are older than the time for which notices are kept", () => {
        const logger = pino({ level: "silent" });
        const notices = createServerNotices({ clock: createManualClock(), logger, memory: 1_000, maximumPause: 1_000 });
        let notified = 0;
        notices.onLeaving(() => notified++);
        notices.mergeLeaving([{ lifetime: "i-1/1", age: 1_001 }, { lifetime: "i-2/1", age: 999 }]);
        expect(notices.listLeaving().map(({ lifetime }) => lifetime)).toEqual(["i-2/1"]);
        expect(notified).toEqual(1);
    });

    it("do not include pauses, which a backend server announces to each gateway separately", () => {
        const logger = pino({ level: "silent" });
        const notices = createServerNotices({ clock: createManualClock(), logger, memory: 1_000, maximumPause: 1_000 });
        let notified = 0;
        notices.onLeaving(() => notified++);
        notices.recordHead("i-1/1", { leaving: false, pause: 500 });
        expect([notices.listLeaving().length, notified]).toEqual([0, 0]);
    });
});
