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

/**
 * Reads the body of a request. The rest of one that is too large is discarded, so that a response can be sent.
 *
 * @param request - the request
 * @param maximumBytes - size of the largest body that is accepted
 * @returns the body, or undefined if it is too large or the connection failed
 */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
    const parts: Buffer[] = [];
    let bytes = 0;
    try {
        // By default, leaving the loop would destroy the connection before a response is sent.
        for await (const part of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            bytes += part.length;
            if (bytes > maximumBytes) {
                request.resume();
                return undefined;
            }
            parts.push(part);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(parts);
}
