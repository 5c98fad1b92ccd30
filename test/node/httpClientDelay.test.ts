import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import { Worker } from "node:worker_threads";
import { createHttpClient } from "../../src/node/httpClient/index.js";

/** Responds to each request after 30 ms in a thread of its own, so that a blocked test thread does not delay it. */
const server = `
    const { parentPort } = require("node:worker_threads");
    const server = require("node:http").createServer((request, response) => {
        setTimeout(() => response.end("in time"), 30);
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

describe("call of a process whose event loop is blocked", () => {
    // Guards against a timeout of a response that arrived in time but was read late by the blocked process.
    it("gets a response that arrived within the time limit", async () => {
        const worker = new Worker(server, { eval: true });
        const [port] = await once(worker, "message") as [number];
        await using client = createHttpClient({ baseUrl: `http://127.0.0.1:${port}` });
        await client.send({ method: "GET", path: "/" });
        const opened = client.open({ method: "GET", path: "/", timeouts: { head: 100 } });
        await new Promise(resolve => setTimeout(resolve, 10));
        // After this phase of the event loop, timers run before the next poll for data.
        await new Promise(resolve => setImmediate(resolve));
        const endsAt = Date.now() + 300;
        while (Date.now() < endsAt) {
            // Blocks the event loop.
        }
        const response = await opened;
        await worker.terminate();
        expect(response.isOk).toEqual(true);
    });
});
