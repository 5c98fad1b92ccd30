import createRouter, { type HTTPMethod } from "find-my-way";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createSeededRandom } from "../../utils/index.js";
import { answerJson } from "./answers.js";
import { createControlRoutes } from "./controlRoutes.js";
import { faultEffects } from "./faultEffects.js";
import { createFaultTable, type FaultTable } from "./faultTable.js";
import { findFreePorts } from "./freePorts.js";
import { createOvertaking } from "./overtaking.js";
import { sendAnswer } from "./sendAnswer.js";
import type { StandInAnswer, StandInRequest, StandInRoute, StandInServer, StandInServerOptions } from "./types.js";

const maximumBodyBytes = 64 * 1_048_576;
const allMethods: readonly HTTPMethod[] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/**
 * Starts the HTTP server of a stand-in.
 *
 * @param options - address, clock and faults
 * @param createRoutes - creates the operations; a route with method `*` takes every method
 * @returns the server once it listens; rejects if the address cannot be bound
 */
export async function startStandInServer(
    options: StandInServerOptions,
    createRoutes: (server: StandInServer) => readonly StandInRoute[],
): Promise<StandInServer> {
    const host = options.host ?? "127.0.0.1";
    const faults = createFaultTable(options.faults ?? [], options.random ?? createSeededRandom(1));
    const lifetime = new AbortController();
    const exchange = createExchange(faults, lifetime.signal);
    const router = createRouter({
        defaultRoute: (request, response) => {
            request.resume();
            answerNotFound(response);
        },
    });
    const server = createServer((request, response) => {
        router.lookup(request, response);
    });
    await listen(server, host, options.port ?? (await findFreePorts(1))[0]!);
    const { port } = server.address() as AddressInfo;

    const inOrder = createSequence();
    const standIn: StandInServer = {
        host,
        port,
        baseUrl: `http://${host}:${port}`,
        faults,
        stopped: lifetime.signal,
        suspend: () => inOrder(() => close(server)),
        resume: () =>
            inOrder(() => server.listening || lifetime.signal.aborted ? undefined : listen(server, host, port)),
        [Symbol.asyncDispose]: () => {
            lifetime.abort();
            return inOrder(() => close(server));
        },
    };
    for (const route of [...createControlRoutes(standIn), ...createRoutes(standIn)]) {
        const methods = route.method === "*" ? [...allMethods] : [route.method as HTTPMethod];
        router.on(methods, route.path, (request, response, parameters) => {
            void exchange(route, request, response, parameters);
        });
    }
    return standIn;
}

/** Node reports the end of a server only if it does not listen again before, so each change waits for the last one. */
function createSequence(): (change: () => Promise<void> | undefined) => Promise<void> {
    let last = Promise.resolve();
    return change => {
        const result = last.then(change);
        last = result.catch(() => undefined);
        return result;
    };
}

type Exchange = (
    route: StandInRoute,
    message: IncomingMessage,
    response: ServerResponse,
    parameters: Readonly<Record<string, string | undefined>>,
) => Promise<void>;

function createExchange(faults: FaultTable, stopped: AbortSignal): Exchange {
    const overtaking = createOvertaking();
    return async (route, message, response, parameters) => {
        const connection = watchConnection(response, stopped);
        const body = await readBody(message);
        if (body === undefined) {
            response.socket?.destroy();
            return;
        }
        const request = toRequest(message, body, parameters, connection);
        const rule = route.operation === "control" ? undefined : faults.select(route.operation);
        const run = async (): Promise<StandInAnswer> => route.handle(request);
        try {
            if (rule === undefined) {
                await sendAnswer(response, await run(), connection);
                overtaking.report(route.operation);
                return;
            }
            const overtaken = (): Promise<void> => overtaking.wait(route.operation);
            await faultEffects[rule.kind]({ rule, route, request, response, run, overtaken, stopped });
        }
        catch (cause) {
            const message = cause instanceof Error ? cause.message : String(cause);
            await sendAnswer(response, answerJson(500, { error: message }), connection);
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

function watchConnection(response: ServerResponse, stopped: AbortSignal): AbortSignal {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    stopped.addEventListener("abort", abort);
    response.once("close", () => {
        stopped.removeEventListener("abort", abort);
        if (!response.writableFinished) {
            abort();
        }
    });
    return controller.signal;
}

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

function answerNotFound(response: ServerResponse): void {
    response.writeHead(404, { "content-type": "application/json", "x-executed": "no" });
    response.end(JSON.stringify({ error: "no such route" }));
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
