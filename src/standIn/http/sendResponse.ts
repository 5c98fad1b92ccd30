import type { ServerResponse } from "node:http";
import type { StandInResponse } from "./types.js";

/**
 * Sends a response.
 *
 * @param serverResponse - response object of the HTTP server, to write to
 * @param response - status, headers and body to send
 * @param signal - aborted when the connection closes
 * @returns resolves once the response is written or the connection is closed
 */
export async function sendResponse(
    serverResponse: ServerResponse,
    response: StandInResponse,
    signal: AbortSignal,
): Promise<void> {
    const { status, headers = {}, body } = response;
    if (signal.aborted || serverResponse.destroyed) {
        await releaseUnsentStream(body);
        return;
    }
    if (body === undefined || typeof body === "string" || body instanceof Uint8Array) {
        const bytes = Buffer.from(body as Uint8Array | undefined ?? "");
        serverResponse.writeHead(status, {
            ...headers,
            ...(status === 204 ? {} : { "content-length": bytes.byteLength }),
        });
        serverResponse.end(bytes);
        return;
    }
    serverResponse.writeHead(status, { ...headers });
    serverResponse.flushHeaders();
    try {
        await writeParts(serverResponse, body, signal);
    }
    catch {
        // The client sees an incomplete response when the stream fails.
        serverResponse.socket?.destroy();
        return;
    }
    serverResponse.end();
}

/** Starts and ends a stream that is not sent: a generator that has not been started does not run its `finally` block. */
async function releaseUnsentStream(body: StandInResponse["body"]): Promise<void> {
    if (typeof body !== "object" || body instanceof Uint8Array) {
        return;
    }
    const iterator = body[Symbol.asyncIterator]();
    try {
        await iterator.next();
        await iterator.return?.();
    }
    catch {
        // The stream fails because the connection is closed.
    }
}

async function writeParts(
    serverResponse: ServerResponse,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
): Promise<void> {
    for await (const part of body) {
        if (signal.aborted) {
            return;
        }
        if (!serverResponse.write(part)) {
            await waitForDrain(serverResponse, signal);
        }
    }
}

function waitForDrain(serverResponse: ServerResponse, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            serverResponse.off("drain", finish);
            signal.removeEventListener("abort", finish);
            resolve();
        };
        serverResponse.once("drain", finish);
        signal.addEventListener("abort", finish);
    });
}
