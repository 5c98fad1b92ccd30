import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Answers with JSON.
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
 * Ends an answer before it is complete, so that the caller notices. Without chunks, the orderly end of the connection
 * would pass for the end of the answer.
 *
 * @param response - response that is given up
 */
export function breakOffAnswer(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}

/**
 * Reads the body of a request.
 *
 * @param request - the request
 * @param maximumBytes - most bytes that are read
 * @returns the body, or undefined if it is too large or the caller broke the connection
 */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
    const parts: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const part of request as AsyncIterable<Buffer>) {
            bytes += part.length;
            if (bytes > maximumBytes) {
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
