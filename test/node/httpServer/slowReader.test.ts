import { expect } from "earl";
import createRouter from "find-my-way";
import { describe, it } from "node:test";
import { startHttpServer } from "../../../src/node/httpServer/index.js";
import { createSystemClock, sleep } from "../../../src/utils/index.js";
import { openChannel } from "../../platform/standIn/channel.js";
import { expectOk } from "../support.js";

/** Bytes beyond what the operating system holds for a connection. */
const responseBytes = 12 * 1_048_576;

describe("HTTP server that stops", () => {
    // Guards against a connection that is closed as idle while the response still waits in the process.
    it("sends the rest of a response to a peer that reads slowly", async () => {
        const router = createRouter();
        router.on("POST", "/", (...[, response]) => {
            response.writeHead(200, { "content-length": responseBytes });
            response.end(Buffer.alloc(responseBytes));
        });
        const server = expectOk(await startHttpServer("127.0.0.1:0", router, createSystemClock(), 10_000));
        using channel = await openChannel({ host: "127.0.0.1", port: server.port });
        const calling = channel!.call({
            path: "/",
            attemptId: "slow",
            deadline: 10_000,
            bytesPerSecond: responseBytes,
        });
        await sleep(200);
        expect(server.countOpen()).toEqual(1);
        await server[Symbol.asyncDispose]();
        const { bodyBytes, ending } = await calling;
        expect([ending, bodyBytes]).toEqual(["whole", responseBytes]);
    });
});
