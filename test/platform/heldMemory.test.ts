import { expect } from "earl";
import { describe, it } from "node:test";
import { formatHead } from "./standIn/rawCaller.js";
import { largeBody, measureSlowCallers, type SlowCaller, spareMegabytes } from "./standIn/slowCallers.js";

const slowCallers: readonly SlowCaller[] = [
    {
        name: "do not read large answers",
        count: 40,
        pause: 100,
        begin: ({ socket }) => {
            socket.pause();
            socket.write(formatHead("GET /safe/big"));
        },
    },
    {
        name: "do not read streams",
        count: 40,
        begin: ({ socket }) => {
            socket.pause();
            socket.write(formatHead("GET /stream/"));
        },
    },
    {
        name: "do not send the end of large bodies",
        count: 60,
        begin: ({ socket }) => {
            socket.write(formatHead("POST /safe/small", `content-length: ${largeBody.length + 1}`));
            socket.write(largeBody);
        },
    },
    {
        name: "do not send the end of large heads",
        count: 200,
        begin: ({ socket }) => {
            socket.write(`GET /safe/small HTTP/1.1\r\nhost: members.example\r\nfield: ${"x".repeat(950_000)}`);
        },
    },
    {
        name: "send large bodies behind a request that runs",
        count: 60,
        begin: ({ socket }) => {
            socket.write(formatHead("GET /safe/held"));
            socket.write(formatHead("POST /safe/small", `content-length: ${largeBody.length}`));
            socket.write(largeBody);
        },
    },
];

describe("gateway with slow callers", () => {
    for (const callers of slowCallers) {
        // Guards against a gateway that is killed because it holds more for slow callers than its memory.
        it(`stays within its memory, and serves others later: callers that ${callers.name}`, async () => {
            expect(await measureSlowCallers(callers)).toBeLessThan(spareMegabytes);
        });
    }
});
