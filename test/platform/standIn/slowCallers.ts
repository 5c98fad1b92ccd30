import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../../../src/standIn/index.js";
import { createDisposalStack, type DisposalStack, sleep } from "../../../src/utils/index.js";
import { operatorConfiguration, waitUntil } from "./deployment.js";
import { type GatewayProcess, startGatewayProcess } from "./gatewayProcess.js";
import { formatHead, openRawCaller, type RawCaller } from "./rawCaller.js";
import { createHead, proof, type RawRequest, startRawRunner } from "./rawRunner.js";
import { createServerRecord } from "./serverRecord.js";
import { startStoreStandIn } from "./storeStandIn.js";

/** `memory_mb` of the smallest gateways. */
const memoryMegabytes = 202;
/** Memory that a gateway uses while it is idle. */
const usedMegabytes = 99;
const megabyte = 1_048_576;
const answer = Buffer.alloc(8 * megabyte, "x");
const event = Buffer.from(`data: ${"x".repeat(65_000)}\n\n`);
const loadMilliseconds = 4_000;

const limits = {
    max_header_bytes: megabyte,
    max_body_bytes: 4 * megabyte,
    header_timeout_ms: 20_000,
    idle_timeout_ms: 20_000,
};

/** Answers `/safe/big` with 8 MiB, `/stream/` without end, `/safe/held` never and anything else at once. */
function answerRequest(socket: Socket, { attemptId, path }: RawRequest): void {
    const fields = [`attempt-id: ${attemptId}`, proof] as const;
    if (path.startsWith("/safe/held")) {
        return;
    }
    if (path.startsWith("/stream/")) {
        socket.write(createHead("200 OK", ...fields, "content-type: text/event-stream"));
        const timer = setInterval(() => socket.write(event), 20);
        socket.once("close", () => clearInterval(timer));
        return;
    }
    const body = path.startsWith("/safe/big") ? answer : Buffer.from("small");
    socket.write(createHead("200 OK", ...fields, "content-type: text/plain", `content-length: ${body.length}`));
    socket.write(body);
}

function readMemory({ processId }: GatewayProcess): number {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)![1]) / 1_024;
}

/** Starts a gateway with the memory of the smallest ones in a process of its own, with one backend server. */
async function startGateway(stack: DisposalStack): Promise<GatewayProcess> {
    const store = stack.use(await startStoreStandIn());
    const routes = operatorConfiguration.routes.map(route => ({
        ...route,
        timeout_ms: 20_000,
        target_latency_ms: 20_000,
    }));
    const services = [{ ...operatorConfiguration.services[0], max_connections: 300 }];
    store.write("keyed.op", "config", { ...operatorConfiguration, routes, services, limits });
    const runner = stack.use(await startRawRunner(answerRequest));
    store.write("keyed.servers", "i-1", createServerRecord(runner.address, { slots: 200 }));
    const folder = mkdtempSync(join(tmpdir(), "held-"));
    stack.defer(() => rmSync(folder, { recursive: true, force: true }));
    const [callers, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const gateway = stack.use(startGatewayProcess({
        instance: "gateway-1",
        host: "127.0.0.1",
        ports: { callers, ready, relay, metrics },
        storeAddress: store.address,
        drainTimeLimitSeconds: 3,
        folder,
        gatewayKeys: [`memoryMegabytes = ${memoryMegabytes}`],
    }));
    await waitUntil("the gateway is ready", () => gateway.isReady(), 30_000);
    return gateway;
}

async function callSmall(gateway: GatewayProcess): Promise<number> {
    using caller = await openRawCaller({ host: gateway.host, port: gateway.port });
    caller.socket.write(formatHead("GET /safe/small"));
    await caller.receive("HTTP/1.1 ");
    return caller.statuses()[0]!;
}

/** Callers that send or read slowly. */
export interface SlowCaller {
    readonly name: string;
    readonly count: number;
    /** Time between two of them in milliseconds. Default: 0. */
    readonly pause?: number;
    readonly begin: (caller: RawCaller) => void;
}

/** Megabytes by which the memory of a gateway may grow under load. */
export const spareMegabytes = memoryMegabytes - usedMegabytes;

/** Body of almost the largest size that the configuration allows. */
export const largeBody = Buffer.alloc(4 * megabyte - 1, "x");

/**
 * Starts a gateway and slow callers, and checks that it serves others afterwards.
 *
 * @param callers - the slow callers
 * @returns megabytes by which the memory of the gateway has grown at most
 */
export async function measureSlowCallers({ begin, count, pause = 0 }: SlowCaller): Promise<number> {
    await using stack = createDisposalStack();
    const gateway = await startGateway(stack);
    for (let index = 0; index < 300; index++) {
        await callSmall(gateway);
    }
    const idle = readMemory(gateway);
    let most = 0;
    for (let index = 0; index < count; index++) {
        const caller = await openRawCaller({ host: gateway.host, port: gateway.port });
        stack.defer(() => caller[Symbol.dispose]());
        begin(caller);
        await sleep(pause);
        most = Math.max(most, readMemory(gateway));
    }
    const endsAt = performance.now() + loadMilliseconds;
    while (performance.now() < endsAt) {
        most = Math.max(most, readMemory(gateway));
        await sleep(20);
    }
    await waitUntil(
        "others are served beside the slow callers",
        async () => await callSmall(gateway) === 200,
        8_000,
    );
    return most - idle;
}
