import { expect } from "earl";
import { describe, it } from "node:test";
import { createReadTurns } from "../../src/node/httpClient/readTurns.js";
import { createManualClock } from "../../src/utils/index.js";

function startResponses(count: number) {
    const clock = createManualClock();
    const turns = createReadTurns(clock);
    const events: string[] = [];
    const responses = Array.from({ length: count }, (...[, index]) =>
        turns.open({
            pause: () => events.push(`pause ${index}`),
            resume: () => events.push(`resume ${index}`),
            onTurnUsed: () => {},
        }));
    /** Receives parts that take a time each. */
    const receive = (index: number, parts: number, milliseconds: number): void => {
        for (let part = 0; part < parts; part++) {
            clock.advance(milliseconds);
            responses[index]!.received();
        }
    };
    return { events, receive, responses };
}

function nextTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

describe("turns in which responses are read", () => {
    // Guards against a peer that sends a chunk for each byte, and keeps the process from everything else.
    it("pause a response whose parts follow each other for two milliseconds, and resume it in the next turn", async () => {
        const { events, receive } = startResponses(1);
        receive(0, 16, 0.01);
        receive(0, 192, 0.01);
        expect(events).toEqual([]);
        receive(0, 32, 0.01);
        expect(events).toEqual(["pause 0"]);
        await nextTurn();
        expect(events).toEqual(["pause 0", "resume 0"]);
    });

    it("pause others early once they have used up the turn together", async () => {
        const { events, receive } = startResponses(8);
        for (let index = 0; index < 8; index++) {
            receive(index, 16, 0.01);
            receive(index, 192, 0.01);
        }
        expect(events.map(event => event.split(" ")[0])).toEqual(["pause", "pause", "pause"]);
        await nextTurn();
        expect(events.slice(3)).toEqual(events.slice(0, 3).map(event => event.replace("pause", "resume")));
    });

    // Guards against system calls and wake-ups for each event of an ordinary stream.
    it("leave a stream alone whose events come one by one", () => {
        const { events, receive } = startResponses(1);
        receive(0, 1_000, 5);
        expect(events).toEqual([]);
    });

    it("resume no response that has ended", async () => {
        const { events, receive, responses } = startResponses(1);
        receive(0, 300, 0.01);
        responses[0]!.close();
        receive(0, 300, 0.01);
        await nextTurn();
        expect(events).toEqual(["pause 0"]);
    });
});
