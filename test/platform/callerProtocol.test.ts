import { expect } from "earl";
import { describe, it } from "node:test";
import { createCallerProtocol } from "../../platform/callerProtocol.js";

describe("shared parts of the prompt in the headers of a caller", () => {
    const many = Array.from({ length: 40 }, (...[, index]) => index.toString(16));
    const cases: readonly (readonly [string, string | undefined, readonly string[]])[] = [
        ["no header", undefined, []],
        ["one part, which is the request's own", "5c1e07a2:800", []],
        ["all but the last", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", ["5c1e07a2", "91bd3f06"]],
        ["spaces and upper case", "5C1E07A2:800 , 91bd3f06:410", ["5c1e07a2"]],
        ["no number of tokens", "5c1e07a2,91bd3f06:410", []],
        ["no hexadecimal identifier", "zz:800,91bd3f06:410", []],
        ["an identifier without end", `${"a".repeat(65)}:800,91bd3f06:410`, []],
        ["an empty entry", "5c1e07a2:800,,91bd3f06:410", []],
        ["more than are read", many.map(part => `${part}:1`).join(","), many.slice(0, 16)],
    ];
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
