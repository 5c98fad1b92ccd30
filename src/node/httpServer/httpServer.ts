import type { HTTPVersion, Instance as Router } from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import { type Clock, createError, type GoldcrestpointError, type Milliseconds } from "../../types/index.js";
import { DrainableServer } from "./drainableServer.js";
import { abortResponse, sendJson } from "./responses.js";

/** Running HTTP server. */
export interface HttpServer extends AsyncDisposable {
    /** Port that the server listens on. */
    readonly port: number;
    /** Counts the responses that have not been sent completely. */
    readonly countOpen: () => number;
    /** Stops listening after accepting the connections that wait, and reads what has arrived on the others. */
    stopAccepting(): Promise<void>;
}

/** Router of a daemon's HTTP server. */
export type HttpRouter = Router<HTTPVersion.V1>;

const defaultShutdownTimeLimit: Milliseconds = 2_000;

/**
 * Starts an HTTP server.
 *
 * @param address - `host:port`; port 0 selects a free one
 * @param router - routes to serve
 * @param clock - time source
 * @param shutdownTimeLimit - time after the disposal at which open connections are closed
 * @param logger - gets a line for each handler that throws. Default: none
 * @returns the server, or an error if the address cannot be bound
 */
export function startHttpServer(
    address: string,
    router: HttpRouter,
    clock: Pick<Clock, "monotonic">,
    shutdownTimeLimit: Milliseconds = defaultShutdownTimeLimit,
    logger?: Pick<Logger, "error">,
): Promise<Result<HttpServer, GoldcrestpointError>> {
    const { host, port } = splitAddress(address);
    const server = new DrainableServer({}, (request, response) => {
        lookUp(router, request, response).catch((error: unknown) => {
            logger?.error({ path: request.url, error: String(error) }, "request failed unexpectedly");
            failResponse(response);
        });
    }, clock);
    return new Promise(resolve => {
        server.once("error", error => {
            resolve(err(createError("PEER_UNREACHABLE", "bind HTTP server", address, error.message)));
        });
        server.listen(port, host, () => {
            const bound = server.address();
            resolve(ok({
                port: typeof bound === "object" && bound ? bound.port : port,
                countOpen: () => server.countOwed(),
                stopAccepting: () => server.stopAccepting(0),
                [Symbol.asyncDispose]: () => server.stop(shutdownTimeLimit),
            }));
        });
    });
}

async function lookUp(router: HttpRouter, request: IncomingMessage, response: ServerResponse): Promise<void> {
    await router.lookup(request, response);
}

function failResponse(response: ServerResponse): void {
    if (response.headersSent) {
        abortResponse(response);
        return;
    }
    sendJson(response, 500, { error: "internal error" });
}

/**
 * Splits an address.
 *
 * @param address - `host:port`
 * @returns host and port
 */
export function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
