import type { ServerResponse } from "node:http";
import type { StandInAnswer } from "./types.js";

/**
 * Sends an answer.
 *
 * @param response - response to write to
 * @param answer - the answer
 * @param signal - aborted when the connection closes
 * @returns once the answer is written or the connection is closed
 */
export async function sendAnswer(response: ServerResponse, answer: StandInAnswer, signal: AbortSignal): Promise<void> {
    const { status, headers = {}, body } = answer;
    if (signal.aborted || response.destroyed) {
        await releaseStream(body);
        return;
    }
    if (body === undefined || typeof body === "string" || body instanceof Uint8Array) {
        const bytes = Buffer.from(body as Uint8Array | undefined ?? "");
        response.writeHead(status, { ...headers, ...(status === 204 ? {} : { "content-length": bytes.byteLength }) });
        response.end(bytes);
        return;
    }
    response.writeHead(status, { ...headers });
    response.flushHeaders();
    try {
        await writeParts(response, body, signal);
    }
    catch {
        // A stream that fails leaves its answer incomplete.
        response.socket?.destroy();
        return;
    }
    response.end();
}

/** A stream frees what it occupies only once it has been started. */
async function releaseStream(body: StandInAnswer["body"]): Promise<void> {
    if (typeof body !== "object" || body instanceof Uint8Array) {
        return;
    }
    const iterator = body[Symbol.asyncIterator]();
    try {
        await iterator.next();
        await iterator.return?.();
    }
    catch {
        // The stream ended with the connection.
    }
}

async function writeParts(
    response: ServerResponse,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
): Promise<void> {
    for await (const part of body) {
        if (signal.aborted) {
            return;
        }
        if (!response.write(part)) {
            await waitForDrain(response, signal);
        }
    }
}

function waitForDrain(response: ServerResponse, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            response.off("drain", finish);
            signal.removeEventListener("abort", finish);
            resolve();
        };
        response.once("drain", finish);
        signal.addEventListener("abort", finish);
    });
}
