import { expect } from "earl";
import { describe, it } from "node:test";
import { createCallerProtocol } from "../../platform/callerProtocol.js";

describe("shared parts of the prompt in the headers of a caller", () => {
    const many = Array.from({ length: 10_000 }, (...[, index]) => index.toString(16));
    const cases: readonly (readonly [string, string | undefined, readonly string[]])[] = [
        ["no header", undefined, []],
        ["one part, which is the request's own", "5c1e07a2:800", []],
        ["all but the last", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", ["5c1e07a2", "91bd3f06"]],
        ["spaces and upper case", "5C1E07A2:800 , 91bd3f06:410", ["5c1e07a2"]],
        ["no number of tokens", "5c1e07a2,e4402b7d:12,91bd3f06:410", ["5c1e07a2", "e4402b7d"]],
        ["odd numbers of tokens", "5c1e07a2:-1,e4402b7d:1.5e9,7:,91bd3f06:410", ["5c1e07a2", "e4402b7d", "7"]],
        ["no hexadecimal identifier", "zz:800,5c1e07a2:1,91bd3f06:410", ["zz", "5c1e07a2"]],
        ["a long identifier", `${"a".repeat(65)}:800,5c1e07a2:1,91bd3f06:410`, ["a".repeat(65), "5c1e07a2"]],
        ["an empty entry", "5c1e07a2:800,, :3,e4402b7d:1,91bd3f06:410", ["5c1e07a2", "e4402b7d"]],
        ["the same one twice", "5c1e07a2:800,5c1e07a2:1,91bd3f06:410", ["5c1e07a2", "5c1e07a2"]],
        ["ten thousand", many.map(part => `${part}:1`).join(","), many.slice(0, -1)],
    ];
    // Guards against a part that is hidden by its place in the prompt, or by another entry that cannot be read.
    for (const [name, header, expected] of cases) {
        it(`are decoded: ${name}`, () => {
            const headers = { "attempt-id": "a", ...(header === undefined ? {} : { "prompt-prefix": header }) };
            const protocol = createCallerProtocol();
            expect(protocol.decodeCall(headers)?.sharedParts).toEqual([...expected]);
            const forwarded = { instance: "i-1", remaining: 100, clientAccount: undefined, resumeAfter: undefined };
            expect(protocol.encodeForwarded(headers, { ...forwarded, version: undefined })["prompt-prefix"]).toEqual(
                header,
            );
        });
    }
});

describe("load in the headers of an answer", () => {
    const protocol = createCallerProtocol();
    const cases: readonly (readonly [string, string, number | undefined])[] = [
        ["as usual", "3,0,8,100", 1],
        ["one and a half times the usual time", "3,0,8,150", 1.5],
        ["three figures only", "3,0,8", undefined],
        ["a fourth figure of 0", "3,0,8,0", undefined],
        ["a negative fourth figure", "3,0,8,-20", undefined],
        ["a fourth figure that is no number", "3,0,8,slow", undefined],
    ];
    // Guards against a speed that is taken from a figure that states none.
    for (const [name, header, slowdown] of cases) {
        it(`is decoded with how long work takes: ${name}`, () => {
            const { load } = protocol.decodeHead(200, { "runner-load": header });
            expect(load?.running).toEqual(3);
            expect(load?.slowdown).toEqual(slowdown);
        });
    }
});

describe("length that a caller expects of its answer", () => {
    for (const [header, expected] of [["80", 80], ["0", undefined], ["-3", undefined], ["long", undefined]] as const) {
        it(`is decoded: ${header}`, () => {
            const call = createCallerProtocol().decodeCall({ "attempt-id": "a", "length-hint": header });
            expect(call?.expectedOutputTokens).toEqual(expected);
        });
    }
});

describe("rank in the queue of an engine", () => {
    // Guards against a caller that moves its own request to the front of the queue.
    for (const [rank, expected] of [[0, "0"], [12, "9"], [undefined, undefined]] as const) {
        it(`is set by the gateway only: ${rank}`, () => {
            const forwarded = { instance: "i-1", remaining: 100, clientAccount: undefined, resumeAfter: undefined };
            const sent = createCallerProtocol().encodeForwarded(
                { "request-priority": "1" },
                { ...forwarded, version: undefined, engineRank: rank },
            );
            expect(sent["request-priority"]).toEqual(expected);
        });
    }
});
