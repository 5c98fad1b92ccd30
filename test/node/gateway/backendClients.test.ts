import { expect } from "earl";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { describe, it, mock } from "node:test";
import { type BackendClients, createBackendClients } from "../../../src/node/gateway/attempts/backendClients.js";
import type { HttpClient } from "../../../src/node/httpClient/index.js";
import type { ListedBackendServer } from "../../../src/types/index.js";
import { createListed } from "../../runtime/gateway/configuration.js";

/** Longer than the timeouts of routes are by default. */
const longCall = 60_000;

/** Server whose answers begin at once and end when the test says so. */
interface HeldServer extends AsyncDisposable {
    readonly listed: ListedBackendServer;
    readonly answers: ServerResponse[];
    readonly countConnections: () => number;
}

async function startHeldServer(): Promise<HeldServer> {
    const answers: ServerResponse[] = [];
    const sockets = new Set<Socket>();
    const server: Server = createServer((...[, response]) => {
        response.write("begun ");
        answers.push(response);
    });
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        listed: createListed({
            instance: "i-1",
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            startedAt: 1,
        }),
        answers,
        countConnections: () => sockets.size,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
            await once(server, "close");
        },
    };
}

/** Lets the event loop deliver what has been sent, also while the timers of the test are mocked. */
async function passIterations(isMet: () => boolean): Promise<void> {
    for (let iteration = 0; iteration < 20_000 && !isMet(); iteration++) {
        await new Promise(resolve => setImmediate(resolve));
    }
    expect(isMet()).toEqual(true);
}

async function readCall(client: HttpClient): Promise<string> {
    const timeouts = { head: Infinity, idle: Infinity };
    const opened = await client.open({ method: "POST", path: "/", timeouts });
    if (opened.isErr) {
        return opened.error.message;
    }
    const parts: Uint8Array[] = [];
    for await (const part of opened.value.body) {
        parts.push(part);
    }
    return Buffer.concat(parts).toString();
}

describe("calls to a backend server that is no longer used as before", () => {
    let connections = 1;
    const changes: Readonly<Record<string, (clients: BackendClients, listed: ListedBackendServer) => void>> = {
        "left the list": clients => clients.keepOnly(new Set()),
        "has another address": (clients, listed) => void clients.find({ ...listed, address: "127.0.0.1:9" }),
        "started again": (clients, listed) => void clients.find({ ...listed, startedAt: 2 }),
        "accepts fewer connections": (clients, listed) => {
            connections = 2;
            clients.find(listed);
        },
    };
    for (const [change, apply] of Object.entries(changes)) {
        // Guards against answers that are cut off a fixed time after their backend server has left the list.
        it(`end when their answers do, and then their connections are closed: ${change}`, async () => {
            await using server = await startHeldServer();
            connections = 1;
            await using clients = createBackendClients({
                connectTimeLimit: 1_000,
                connections: () => connections,
                usedTurns: { record: () => {} },
            });
            const client = clients.find(server.listed);
            const first = readCall(client);
            const waiting = readCall(client);
            await passIterations(() => server.answers.length === 1);
            mock.timers.enable({ apis: ["setTimeout"] });
            try {
                apply(clients, server.listed);
                mock.timers.tick(longCall);
            }
            finally {
                mock.timers.reset();
            }
            await passIterations(() => server.answers[0]!.writable);
            server.answers[0]!.end("ended");
            await passIterations(() => server.answers.length === 2);
            server.answers[1]!.end("ended");
            expect(await Promise.all([first, waiting])).toEqual(["begun ended", "begun ended"]);
            await passIterations(() => server.countConnections() === 0);
        });
    }
});
