import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createCrashWatch } from "../../../src/node/gateway/crashes/crashWatch.js";
import { createManualClock } from "../../../src/utils/index.js";

const server = {
    instance: "i-1",
    service: "archive",
    address: "127.0.0.1:1",
    zone: "zone-a",
    slots: 4,
    state: "ready",
    weights: undefined,
    startedAt: 1,
} as const;

describe("attempts without an answer that have a part of their prompts in common", () => {
    // Guards against one backend server without an answer that makes a gateway refuse all requests with a common part.
    it("are awaited for two seconds, and until they have ended", async () => {
        const clock = createManualClock();
        const watch = createCrashWatch({
            clock,
            logger: pino({ level: "silent" }),
            connectTimeLimit: 100,
            onCrash: () => {},
            onAnswer: () => {},
            countCheck: () => {},
        });
        const track = (fingerprint: string) => watch.trackAttempt(server, { fingerprint, partFingerprints: ["part"] });
        const silent = track("a");
        expect(watch.isAwaitingAnswer(["part"])).toEqual(true);
        clock.advance(2_000);
        expect(watch.isAwaitingAnswer(["part"])).toEqual(false);
        const next = track("b");
        expect(watch.isAwaitingAnswer(["part"])).toEqual(true);
        await Promise.all([silent.finish(false), next.finish(false)]);
        expect(watch.isAwaitingAnswer(["part"])).toEqual(false);
    });
});
