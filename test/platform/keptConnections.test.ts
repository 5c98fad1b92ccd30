import { expect } from "earl";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import { createDisposalStack, type DisposalStack, sleep } from "../../src/utils/index.js";
import { openChannel } from "./standIn/channel.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { type GatewayPorts, type GatewayProcess, startGatewayProcess } from "./standIn/gatewayProcess.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";

const requestsAtOnce = 8;
const rounds = 3;

/** Backend server whose connections the test closes. */
interface KeptRunner {
    readonly address: string;
    readonly sockets: ReadonlySet<Socket>;
}

async function startKeptRunner(stack: DisposalStack): Promise<KeptRunner> {
    const sockets = new Set<Socket>();
    const server = createServer((request, response) => {
        const attemptId = String(request.headers["attempt-id"]);
        const head = { "attempt-id": attemptId, "response-seal": "3e1b.07.5a2.600.0.c9f2a4d1" };
        request.resume().once("end", () => setTimeout(() => response.writeHead(200, head).end("answer"), 50));
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("close", () => sockets.delete(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    stack.defer(() => {
        server.close();
        server.closeAllConnections();
    });
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets };
}

async function startGateway(stack: DisposalStack, runnerAddress: string): Promise<GatewayProcess> {
    const folder = mkdtempSync(join(tmpdir(), "kept-connections-"));
    stack.defer(() => rmSync(folder, { recursive: true, force: true }));
    const store = stack.use(await startStoreStandIn());
    store.write("keyed.op", "config", operatorConfiguration);
    store.write("keyed.servers", "i-1", createServerRecord(runnerAddress, { slots: requestsAtOnce }));
    const [callers, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const ports: GatewayPorts = { callers, ready, relay, metrics };
    const gateway = stack.use(startGatewayProcess({
        instance: "gateway-1",
        host: "127.0.0.1",
        ports,
        storeAddress: store.address,
        drainTimeLimitSeconds: 8,
        folder,
    }));
    await waitUntil("the gateway is ready", () => gateway.isReady());
    return gateway;
}

describe("connections that a backend server closes while the gateway is suspended", () => {
    const endings: Readonly<Record<string, (socket: Socket) => void>> = {
        closed: socket => socket.end(),
        reset: socket => socket.resetAndDestroy(),
    };
    for (const [ending, end] of Object.entries(endings)) {
        // Guards against a request that is written to a connection whose end has arrived and was not read.
        it(`carry no further request: ${ending}`, async () => {
            await using stack = createDisposalStack();
            const runner = await startKeptRunner(stack);
            const gateway = await startGateway(stack, runner.address);
            const channels = await Promise.all(Array.from({ length: requestsAtOnce }, () => openChannel(gateway)));
            const callAll = (name: string) =>
                Promise.all(channels.map(async (channel, index) => {
                    const attemptId = `${name}-${index}`;
                    const { ending, status } = await channel!.call({ path: "/unsafe/", attemptId, deadline: 3_000 });
                    return `${ending} ${status}`;
                }));
            const results: string[] = [];
            for (let round = 0; round < rounds; round++) {
                await callAll(`first-${round}`);
                gateway.signal("SIGSTOP");
                const calls = callAll(`second-${round}`);
                // Some of the requests arrive before the connections end, the others after.
                await sleep(round * 20);
                runner.sockets.forEach(end);
                await sleep(300);
                gateway.signal("SIGCONT");
                results.push(...await calls);
            }
            expect(results).toEqual(results.map(() => "whole 200"));
            channels.forEach(channel => channel![Symbol.dispose]());
        });
    }
});
