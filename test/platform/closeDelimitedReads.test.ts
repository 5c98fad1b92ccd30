import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import type { Result } from "true-myth/result";
import { createEngineClient } from "../../platform/engineClient.js";
import { createOriginClient } from "../../platform/originClient.js";
import { createStoreClient } from "../../platform/storeClient.js";
import type { GoldcrestpointError } from "../../src/types/index.js";
import { closeServer } from "./standIn/closeServer.js";

/** Read of an agent or gateway whose response has neither a length nor chunks. */
interface Read {
    readonly body: string;
    readonly run: (address: string) => Promise<Result<unknown, GoldcrestpointError>>;
}

const digest = "0".repeat(64);
const report = { models: [{ name: "m", version: 1 }], busy: false, sequence: 0, queued: 0, running: 0 };

const reads: Readonly<Record<string, Read>> = {
    "newest records of the store": {
        body: JSON.stringify({ items: [], has_more: false, end: 0 }),
        run: async address => {
            await using client = createStoreClient({ address });
            return await client.readNewest("backend-servers");
        },
    },
    "records of the store": {
        body: "\0".repeat(16),
        run: async address => {
            await using client = createStoreClient({ address });
            return await client.readSince("backend-servers", 0, 0);
        },
    },
    "write to the store": {
        body: JSON.stringify({ offset: 0 }),
        run: async address => {
            await using client = createStoreClient({ address });
            return await client.put("instances", "gateway-1", Buffer.from("{}"));
        },
    },
    "report of an engine": {
        body: JSON.stringify(report),
        run: async address => {
            await using client = createEngineClient(address);
            return await client.readReport();
        },
    },
    "staged chunks": {
        body: JSON.stringify({ held: [1, 2] }),
        run: async address => {
            await using client = createEngineClient(address);
            return await client.listStaged("m");
        },
    },
    "staged chunk": {
        body: "content",
        run: async address => {
            await using client = createEngineClient(address);
            return await client.readStaged("m", 0);
        },
    },
    manifest: {
        body: JSON.stringify({ model: "m", version: 1, chunk_bytes: 7, digests: [digest] }),
        run: async address => {
            await using client = createOriginClient();
            client.useAddress(address);
            return await client.readManifest("m", 1);
        },
    },
    "chunk of the origin": {
        body: "content",
        run: async address => {
            await using client = createOriginClient();
            client.useAddress(address);
            return await client.readChunk("m", 1, 0);
        },
    },
};

/** Time in milliseconds for a sent body to be read before the connection is reset, which discards unread bytes. */
const resetDelay = 20;

async function runRead({ body, run }: Read, isReset: boolean): Promise<boolean> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("data", () => {
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`, () => {
                if (isReset) {
                    setTimeout(() => socket.resetAndDestroy(), resetDelay);
                }
                else {
                    socket.end();
                }
            });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    const result = await run(`127.0.0.1:${port}`);
    await closeServer(server, sockets);
    return result.isOk;
}

describe("response that ends with its connection", () => {
    for (const [name, read] of Object.entries(reads)) {
        it(`is complete if the connection is closed, and has failed if it is reset: ${name}`, async () => {
            expect([await runRead(read, false), await runRead(read, true)]).toEqual([true, false]);
        });
    }
});
