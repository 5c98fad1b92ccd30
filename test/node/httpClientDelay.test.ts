import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import { Worker } from "node:worker_threads";
import { createHttpClient } from "../../src/node/httpClient/index.js";

/** Answers each request after a time, however busy the thread of the test is. */
const server = `
    const { parentPort } = require("node:worker_threads");
    const server = require("node:http").createServer((request, response) => {
        setTimeout(() => response.end("in time"), 30);
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

describe("call of a process that is held up", () => {
    // Guards against an answer that is taken for late because its own process did not read it in time.
    it("gets an answer that arrived within the time limit", async () => {
        const worker = new Worker(server, { eval: true });
        const [port] = await once(worker, "message") as [number];
        await using client = createHttpClient({ baseUrl: `http://127.0.0.1:${port}` });
        await client.send({ method: "GET", path: "/" });
        const opened = client.open({ method: "GET", path: "/", timeouts: { head: 100 } });
        await new Promise(resolve => setTimeout(resolve, 10));
        // Timers follow this phase of the event loop before the next poll.
        await new Promise(resolve => setImmediate(resolve));
        const endsAt = Date.now() + 300;
        while (Date.now() < endsAt) {
            // Holds the event loop up.
        }
        const answer = await opened;
        await worker.terminate();
        expect(answer.isOk).toEqual(true);
    });
});
