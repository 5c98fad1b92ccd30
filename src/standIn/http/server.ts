import createRouter, { type HTTPMethod } from "find-my-way";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createSeededRandom } from "../../utils/index.js";
import { createControlRoutes } from "./controlRoutes.js";
import { faultEffects } from "./faultEffects.js";
import { createFaultTable, type FaultTable } from "./faultTable.js";
import { findFreePorts } from "./freePorts.js";
import { createJsonResponse } from "./responses.js";
import { createResponseWaiters } from "./responseWaiters.js";
import { sendResponse } from "./sendResponse.js";
import type { StandInRequest, StandInResponse, StandInRoute, StandInServer, StandInServerOptions } from "./types.js";

const maximumBodyBytes = 64 * 1_048_576;
const allMethods: readonly HTTPMethod[] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/**
 * Starts the HTTP server of a stand-in.
 *
 * @param options - address, clock and faults
 * @param createRoutes - creates the routes; a route with the method `*` accepts every method
 * @returns the server once it listens; rejects if the address cannot be bound
 */
export async function startStandInServer(
    options: StandInServerOptions,
    createRoutes: (server: StandInServer) => readonly StandInRoute[],
): Promise<StandInServer> {
    const host = options.host ?? "127.0.0.1";
    const faults = createFaultTable(options.faults ?? [], options.random ?? createSeededRandom(1));
    const lifetime = new AbortController();
    const handleRequest = createRequestHandler(faults, lifetime.signal);
    const router = createRouter({
        defaultRoute: (request, serverResponse) => {
            request.resume();
            sendNotFound(serverResponse);
        },
    });
    const server = createServer((request, serverResponse) => {
        router.lookup(request, serverResponse);
    });
    await listen(server, host, options.port ?? (await findFreePorts(1))[0]!);
    const { port } = server.address() as AddressInfo;

    const enqueue = createSerialQueue();
    const standIn: StandInServer = {
        host,
        port,
        baseUrl: `http://${host}:${port}`,
        faults,
        stopped: lifetime.signal,
        suspend: () => enqueue(() => close(server)),
        resume: () =>
            enqueue(() => server.listening || lifetime.signal.aborted ? undefined : listen(server, host, port)),
        [Symbol.asyncDispose]: () => {
            lifetime.abort();
            return enqueue(() => close(server));
        },
    };
    for (const route of [...createControlRoutes(standIn), ...createRoutes(standIn)]) {
        const methods = route.method === "*" ? [...allMethods] : [route.method as HTTPMethod];
        router.on(methods, route.path, (request, serverResponse, parameters) => {
            void handleRequest(route, request, serverResponse, parameters);
        });
    }
    return standIn;
}

/**
 * Creates a queue that runs tasks one after the other. The callback of `Server.close` is not called if the server listens
 * again in the meantime, so closing and listening must not overlap.
 */
function createSerialQueue(): (task: () => Promise<void> | undefined) => Promise<void> {
    let last = Promise.resolve();
    return task => {
        const result = last.then(task);
        last = result.catch(() => undefined);
        return result;
    };
}

type RequestHandler = (
    route: StandInRoute,
    message: IncomingMessage,
    serverResponse: ServerResponse,
    parameters: Readonly<Record<string, string | undefined>>,
) => Promise<void>;

function createRequestHandler(faults: FaultTable, stopped: AbortSignal): RequestHandler {
    const responseWaiters = createResponseWaiters();
    return async (route, message, serverResponse, parameters) => {
        const connection = createConnectionSignal(serverResponse, stopped);
        const body = await readBody(message);
        if (body === undefined) {
            serverResponse.socket?.destroy();
            return;
        }
        const request = toRequest(message, body, parameters, connection);
        const rule = route.operation === "control" ? undefined : faults.select(route.operation);
        const run = async (): Promise<StandInResponse> => route.handle(request);
        try {
            if (rule === undefined) {
                await sendResponse(serverResponse, await run(), connection);
                responseWaiters.report(route.operation);
                return;
            }
            const waitForLaterResponse = (): Promise<void> => responseWaiters.wait(route.operation);
            await faultEffects[rule.kind]({ rule, route, request, serverResponse, run, waitForLaterResponse, stopped });
        }
        catch (cause) {
            const message = cause instanceof Error ? cause.message : String(cause);
            await sendResponse(serverResponse, createJsonResponse(500, { error: message }), connection);
        }
    };
}

function toRequest(
    message: IncomingMessage,
    body: Buffer,
    parameters: Readonly<Record<string, string | undefined>>,
    signal: AbortSignal,
): StandInRequest {
    const url = new URL(message.url ?? "/", "http://stand-in");
    return {
        method: message.method ?? "GET",
        path: url.pathname,
        parameters: parameters as Readonly<Record<string, string>>,
        query: url.searchParams,
        headers: message.headers,
        body,
        signal,
    };
}

/** Creates a signal that is aborted when the connection closes before the response is complete, or the server stops. */
function createConnectionSignal(serverResponse: ServerResponse, stopped: AbortSignal): AbortSignal {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    stopped.addEventListener("abort", abort);
    serverResponse.once("close", () => {
        stopped.removeEventListener("abort", abort);
        if (!serverResponse.writableFinished) {
            abort();
        }
    });
    return controller.signal;
}

/** Returns undefined for a body that is too long or incomplete. */
async function readBody(message: IncomingMessage): Promise<Buffer | undefined> {
    const parts: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const part of message) {
            bytes += (part as Buffer).byteLength;
            if (bytes > maximumBodyBytes) {
                return undefined;
            }
            parts.push(part as Buffer);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(parts);
}

function sendNotFound(serverResponse: ServerResponse): void {
    serverResponse.writeHead(404, { "content-type": "application/json", "x-executed": "no" });
    serverResponse.end(JSON.stringify({ error: "no such route" }));
}

function listen(server: Server, host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

function close(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
