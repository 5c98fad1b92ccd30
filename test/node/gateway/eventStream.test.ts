import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { createEventSplitter, isLaterEvent, maximumEventBytes } from "../../../src/node/gateway/answers/eventStream.js";

describe("splitting of a stream into events", () => {
    const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 10\ndata: c\n\n";

    it("finds the same events regardless of how the stream is divided into parts", () => {
        fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(stream.length), { maxLength: 8 }), cuts => {
            const positions = [0, ...cuts.sort((left, right) => left - right), stream.length];
            const splitter = createEventSplitter();
            const events = positions.slice(1).flatMap((end, index) => [
                ...splitter.push(Buffer.from(stream.slice(positions[index], end))),
            ]);
            expect(events.map(({ id }) => id)).toEqual(["1", "2", "10"]);
            expect(Buffer.concat(events.map(({ bytes }) => bytes)).toString()).toEqual(stream);
            expect(splitter.pendingBytes()).toEqual(0);
        }));
    });

    it("keeps an incomplete event pending", () => {
        const splitter = createEventSplitter();
        expect(splitter.push(Buffer.from("id: 1\ndata: a\n"))).toEqual([]);
        expect(splitter.pendingBytes()).toEqual(14);
    });
});

describe("bytes that end no event", () => {
    // Guards against work for each part that grows with what has arrived before, which stops the process for seconds.
    it("are collected in constant time for each byte", () => {
        const splitter = createEventSplitter();
        const part = Buffer.from("x");
        const startedAt = process.cpuUsage();
        for (let count = 0; count < maximumEventBytes; count++) {
            splitter.push(part);
        }
        const { system, user } = process.cpuUsage(startedAt);
        expect(splitter.pendingBytes()).toEqual(maximumEventBytes);
        expect((system + user) / 1_000).toBeLessThan(2_000);
        expect(() => splitter.push(part)).toThrow("an event is larger than");
    });

    // Guards against blank lines and comments without end that are relayed one by one.
    for (const [name, idle] of [["blank lines", "\n"], ["comments", ": x\n\n"]] as const) {
        it(`are joined to one event that has no data: ${name}`, () => {
            const text = idle.repeat(1_000);
            const events = createEventSplitter().push(Buffer.from(`${text}data: x\n\n${text}`));
            expect(events.map(({ bytes, hasData }) => [bytes.toString(), hasData])).toEqual(
                idle === "\n" ?
                    [[text, false], [`data: x\n\n${text}`, true]] :
                    [[text, false], ["data: x\n\n", true], [text, false]],
            );
        });
    }

    it("do not hide an event with data that follows a line break", () => {
        const [event] = createEventSplitter().push(Buffer.from("\ndata: x\n\n"));
        expect([event?.hasData, event?.bytes.toString()]).toEqual([true, "\ndata: x\n\n"]);
    });
});

describe("order of events", () => {
    it("compares numeric identifiers, so that a resumed stream repeats no event", () => {
        expect(isLaterEvent("10", "9")).toEqual(true);
        expect(isLaterEvent("9", "9")).toEqual(false);
        expect(isLaterEvent("x", "9")).toEqual(true);
        expect(isLaterEvent(undefined, "9")).toEqual(true);
    });
});
