import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { startCallerServer } from "../../../src/node/gateway/callers/callerServer.js";
import { createGatewayMetrics } from "../../../src/node/gateway/gatewayMetrics.js";
import type { GatewayRequest } from "../../../src/node/gateway/types.js";
import { createLogger } from "../../../src/node/logging/index.js";
import { createHeldMemory } from "../../../src/node/memory/index.js";
import { createMetrics } from "../../../src/node/metrics/index.js";
import { createRouteTable } from "../../../src/runtime/gateway/index.js";
import { findFreePorts } from "../../../src/standIn/index.js";
import type { CallerProtocol } from "../../../src/types/index.js";
import { createDisposalStack, createManualClock, createSystemClock } from "../../../src/utils/index.js";
import { createConfiguration, createRoute } from "../../runtime/gateway/configuration.js";
import { expectOk } from "../support.js";

function fail(): never {
    throw new Error("unexpected");
}

describe("request whose handling throws an exception", () => {
    const call = { requestId: "request-1", apiKey: "key-1", callerTimeout: undefined, sharedParts: [] };
    const cases = [
        { name: "before it is handed over", decodeCall: fail, status: 503, ran: "no", requestId: undefined },
        { name: "afterwards", decodeCall: () => call, status: 502, ran: "unknown", requestId: "request-1" },
    ];
    for (const { decodeCall, name, ran, requestId, status } of cases) {
        // Guards against a closed connection without an answer.
        it(`is answered ${name}`, async () => {
            const [port] = await findFreePorts(1);
            const clock = createSystemClock();
            const lines: string[] = [];
            const destination = { write: (line: string) => void lines.push(line) };
            const routes = createRouteTable(createConfiguration({ routes: [createRoute({ host: "127.0.0.1" })] }));
            await using stack = createDisposalStack();
            stack.use(expectOk(
                await startCallerServer({
                    address: `127.0.0.1:${port}`,
                    protocol: { decodeCall } as unknown as CallerProtocol,
                    clock,
                    routes: () => routes,
                    serve: () => Promise.reject(new Error("unexpected")),
                    metrics: createGatewayMetrics(createMetrics({ clock })),
                    memory: createHeldMemory({ limit: Infinity, answerLimit: Infinity, clock }),
                    waitShare: 0.5,
                    closeTimeLimit: 100,
                    configurationLimit: 2_000,
                    logger: createLogger({ level: "info", program: "gateway", instance: "gateway-1", destination }),
                }),
            ));
            const response = await fetch(`http://127.0.0.1:${port}/`, { method: "POST", body: "body" });
            const refusal = await response.json() as { readonly ran: string; };
            expect([response.status, refusal.ran]).toEqual([status, ran]);
            const rejection = JSON.parse(lines.find(line => line.includes("request rejected"))!) as {
                readonly reason: string;
                readonly requestId?: string;
            };
            expect([rejection.reason, rejection.requestId]).toEqual(["internal", requestId]);
        });
    }
});

/** Receives a request, of which the last part of the body arrives later by some milliseconds. */
async function receiveSlowly(bodyMilliseconds: number, callerTimeout: number | undefined): Promise<GatewayRequest> {
    const [port] = await findFreePorts(1);
    const clock = createManualClock();
    const configured = [createRoute({ host: "127.0.0.1", targetLatency: 2_000, timeout: 30_000 })];
    const routes = createRouteTable(createConfiguration({ routes: configured }));
    const call = { requestId: "request-1", apiKey: "key-1", callerTimeout, sharedParts: [] };
    let reportHead = (): void => {};
    const headArrived = new Promise<void>(resolve => {
        reportHead = resolve;
    });
    let reportRequest: (request: GatewayRequest) => void = () => {};
    const served = new Promise<GatewayRequest>(resolve => {
        reportRequest = resolve;
    });
    await using stack = createDisposalStack();
    stack.use(expectOk(
        await startCallerServer({
            address: `127.0.0.1:${port}`,
            protocol: { decodeCall: () => call } as unknown as CallerProtocol,
            clock,
            routes: () => {
                reportHead();
                return routes;
            },
            serve: request => {
                reportRequest(request);
                request.response.end();
                return Promise.resolve();
            },
            metrics: createGatewayMetrics(createMetrics({ clock })),
            memory: createHeldMemory({ limit: Infinity, answerLimit: Infinity, clock }),
            waitShare: 0.5,
            closeTimeLimit: 100,
            configurationLimit: 2_000,
            logger: createLogger({ level: "error", program: "gateway", instance: "gateway-1" }),
        }),
    ));
    const socket = connect(port!, "127.0.0.1");
    stack.defer(() => void socket.destroy());
    await once(socket, "connect");
    socket.write("POST / HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: 4\r\n\r\nbo");
    await headArrived;
    clock.advance(bodyMilliseconds);
    socket.write("dy");
    return await served;
}

describe("request whose body arrives after its head", () => {
    const cases = [
        { body: 0, callerTimeout: 9_000, latestStart: 1_000, end: 9_000, missedTarget: false },
        { body: 1_750, callerTimeout: 9_000, latestStart: 2_750, end: 9_000, missedTarget: false },
        { body: 1_750, callerTimeout: 2_500, latestStart: 2_500, end: 2_500, missedTarget: false },
        { body: 2_500, callerTimeout: undefined, latestStart: 3_500, end: 30_000, missedTarget: true },
    ];
    for (const { body, callerTimeout, end, latestStart, missedTarget } of cases) {
        // Guards against requests that are refused for the time their body took, or served after their time limit.
        it(`may wait from then on, within its time limit: ${body} ms, limit ${end} ms`, async () => {
            const request = await receiveSlowly(body, callerTimeout);
            const { receivedAt } = request.row;
            expect({
                latestStart: request.latestStart - receivedAt,
                end: request.endsAt - receivedAt,
                deadline: request.row.deadline - receivedAt,
                missedTarget: request.row.missedTarget,
            }).toEqual({ latestStart, end, deadline: end, missedTarget });
        });
    }
});
