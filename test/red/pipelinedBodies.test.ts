import { expect } from "earl";
import { describe, it } from "node:test";
import { formatHead } from "../platform/standIn/rawCaller.js";
import { largeBody, measureSlowCallers, spareMegabytes } from "../platform/standIn/slowCallers.js";

describe("gateway with callers that send large bodies behind a request that runs", () => {
    // Guards against a gateway that is killed because it holds more for pipelined requests than its memory.
    it("stays within its memory, and serves others later", async () => {
        const growth = await measureSlowCallers({
            name: "send large bodies behind a request that runs",
            count: 60,
            begin: ({ socket }) => {
                socket.write(formatHead("GET /safe/held"));
                socket.write(formatHead("POST /safe/small", `content-length: ${largeBody.length}`));
                socket.write(largeBody);
            },
        });
        expect(growth).toBeLessThan(spareMegabytes);
    });
});
