import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createCrashWatch, type ObservedCrash } from "../../../src/node/gateway/crashes/crashWatch.js";
import { createManualClock } from "../../../src/utils/index.js";
import { waitUntil } from "../../platform/standIn/deployment.js";
import { startHttpStandIn } from "../../platform/standIn/httpStandIn.js";

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

/** Starts a watch that notes the crashes and the answers. */
function startWatch() {
    const crashes: ObservedCrash[] = [];
    const answers: (readonly string[])[] = [];
    const watch = createCrashWatch({
        clock: createManualClock(),
        logger: pino({ level: "silent" }),
        connectTimeLimit: 1_000,
        onCrash: crash => crashes.push(crash),
        onAnswer: fingerprints => answers.push(fingerprints),
        countCheck: () => {},
    });
    return { watch, crashes, answers };
}

describe("attempts whose backend server crashes", () => {
    // Guards against a crash after the begin of an answer that counts against nothing.
    it("count until their answers are complete, with the events that have arrived", async () => {
        const { answers, crashes, watch } = startWatch();
        const first = watch.trackAttempt(server, { fingerprint: "a", partFingerprints: ["part-1", "part-2"] });
        const second = watch.trackAttempt(server, { fingerprint: "b", partFingerprints: ["part-2"] });
        const complete = watch.trackAttempt(server, { fingerprint: "c", partFingerprints: ["part-3"] });
        first.receivedEvent();
        second.receivedEvent();
        second.receivedEvent();
        complete.receivedEvent();
        expect(answers).toEqual([]);
        complete.completed(true, "chunked");
        await Promise.all([first, second, complete].map(attempt => attempt.finish(true)));
        expect(answers).toEqual([["c", "part-3"]]);
        expect(crashes.map(({ events, fingerprints }) => [[...fingerprints].sort(), [...events].sort()])).toEqual([[
            ["a", "b", "part-1", "part-2"],
            [["a", 1], ["b", 2], ["part-1", 1], ["part-2", 2]],
        ]]);
    });

    // Guards against a crash that looks like the end of an answer without a length, and would exonerate its request.
    it("count if their answers end with the connection", async () => {
        const { answers, crashes, watch } = startWatch();
        const attempt = watch.trackAttempt(server, { fingerprint: "a", partFingerprints: ["part"] });
        attempt.receivedEvent();
        attempt.completed(true, "connection");
        await attempt.finish(false);
        await waitUntil("the crash is noticed", () => crashes.length === 1);
        expect([crashes[0]!.fingerprints, answers]).toEqual([["a", "part"], []]);
    });

    it("are answered if the answer ends with the connection and the backend server still listens", async () => {
        const { answers, crashes, watch } = startWatch();
        await using standIn = await startHttpStandIn(() => {});
        const listening = { ...server, address: standIn.address };
        watch.trackAttempt(listening, { fingerprint: "a" }).completed(true, "connection");
        await waitUntil("the answer is noted", () => answers.length === 1);
        expect([crashes, answers]).toEqual([[], [["a"]]]);
    });
});

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
