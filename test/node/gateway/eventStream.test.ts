import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { createEventSplitter, isLaterEvent } from "../../../src/node/gateway/answers/eventStream.js";

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

describe("order of events", () => {
    it("compares numeric identifiers, so that a resumed stream repeats no event", () => {
        expect(isLaterEvent("10", "9")).toEqual(true);
        expect(isLaterEvent("9", "9")).toEqual(false);
        expect(isLaterEvent("x", "9")).toEqual(true);
        expect(isLaterEvent(undefined, "9")).toEqual(true);
    });
});
