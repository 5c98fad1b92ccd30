import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { createEngineClient } from "../../platform/engineClient.js";
import { createOriginClient } from "../../platform/originClient.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { createResponseMemoryLimit } from "../../src/node/httpClient/index.js";
import { closeServer } from "./standIn/closeServer.js";

const maximumBytes = 1_000_000;

/** Responds to each request with an endless body. */
async function startEndlessServer(): Promise<AsyncDisposable & { readonly address: string; }> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n");
            const timer = setInterval(() => socket.write("[".repeat(50_000)), 1);
            socket.once("close", () => {
                sockets.delete(socket);
                clearInterval(timer);
            });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    return {
        address: `127.0.0.1:${port}`,
        [Symbol.asyncDispose]: () => closeServer(server, sockets),
    };
}

describe("endless responses to an agent", () => {
    // Guards against an agent that runs out of memory while it reads several endless responses at the same time.
    it("are aborted within the memory limit for all responses", async () => {
        await using server = await startEndlessServer();
        const { address } = server;
        const memoryLimit = createResponseMemoryLimit(maximumBytes);
        await using engine = createEngineClient(address, memoryLimit);
        await using origin = createOriginClient(memoryLimit);
        await using store = createStoreClient({ address, memoryLimit });
        origin.useAddress(address);
        let most = 0;
        const timer = setInterval(() => {
            most = Math.max(most, memoryLimit.total());
        }, 1);
        const reads = await Promise.all([
            engine.readReport(),
            origin.readManifest("quill", 1),
            ...[0, 1, 2, 3].map(index => origin.readChunk("quill", 1, index)),
            store.readSince("backend-servers", 0, 1_000),
        ]);
        clearInterval(timer);
        expect(reads.filter(({ isOk }) => isOk)).toEqual([]);
        expect(most).toBeLessThanOrEqual(maximumBytes);
        expect(most).toBeGreaterThan(0);
        expect(memoryLimit.total()).toEqual(0);
    });
});
