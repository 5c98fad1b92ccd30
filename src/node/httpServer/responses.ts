import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Sends a JSON response.
 *
 * @param response - response to end
 * @param status - HTTP status
 * @param content - value to send as JSON
 * @param headers - further headers
 */
export function sendJson(
    response: ServerResponse,
    status: number,
    content: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(content));
}

/**
 * Aborts a response in a way that the caller detects. Without chunked encoding, a graceful end of the connection can
 * mark the end of the response, so the connection is reset.
 *
 * @param response - response that cannot be completed
 */
export function abortResponse(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}

/** Memory of a body that is being read. */
export interface BodyMemory {
    /** Counts bytes that are held, with the overhead of each part; negative if they are released. */
    add(bytes: number): void;
    /** Waits until more may be read; undefined if it may be at once. */
    awaitRoom(): Promise<void> | undefined;
    /** Aborted when what was read is to be dropped. */
    readonly signal: AbortSignal;
}

/** Memory of a part beside its bytes, which is most of it for a sender of a few bytes at a time. */
const partOverheadBytes = 512;

/**
 * Reads the body of a request. The rest of one that is too large is discarded, so that a response can be sent.
 *
 * @param request - the request
 * @param maximumBytes - size of the largest body that is accepted
 * @param memory - counts what is held, and pauses the reading. Default: neither
 * @returns the body, or undefined if it is too large, was dropped, or the connection failed
 */
export async function readBody(
    request: IncomingMessage,
    maximumBytes: number,
    memory?: BodyMemory,
): Promise<Buffer | undefined> {
    let parts: Buffer[] = [];
    let bytes = 0;
    // The next part of a body that was dropped may never arrive.
    memory?.signal.addEventListener("abort", () => {
        parts = [];
    }, { once: true });
    try {
        // By default, leaving the loop would destroy the connection before a response is sent.
        for await (const part of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            bytes += part.length;
            if (bytes > maximumBytes) {
                request.resume();
                return undefined;
            }
            parts.push(part);
            memory?.add(part.length + partOverheadBytes);
            await memory?.awaitRoom();
            if (memory?.signal.aborted === true) {
                request.resume();
                return undefined;
            }
        }
    }
    catch {
        return undefined;
    }
    memory?.add(-parts.length * partOverheadBytes);
    const body = memory?.signal.aborted === true ? undefined : Buffer.concat(parts);
    // The listener above refers to the parts for as long as the request lives.
    parts = [];
    return body;
}
