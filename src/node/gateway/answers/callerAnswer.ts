import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { HeaderTable, Refusal } from "../../../types/index.js";
import { copyEndToEndHeaders } from "../../httpServer/index.js";
import type { Holding } from "../../memory/index.js";
import type { BufferedAnswer } from "../types.js";

/** Headers that the gateway sets itself instead of copying them from the backend server. */
const gatewayHeaders: ReadonlySet<string> = new Set(["date"]);

/** Statuses of the answers that a gateway creates itself. */
export type GatewayStatus = 400 | 401 | 404 | 408 | 413 | 431 | 501 | 502 | 503 | 504;

/**
 * Sends a complete answer of a backend server.
 *
 * @param response - response to end
 * @param answer - the answer
 * @param held - memory of the request, which takes that of the answer until the caller has read it
 */
export function sendAnswer(response: ServerResponse, answer: BufferedAnswer, held: Holding): void {
    held.block();
    held.setBytes(answer.body.byteLength);
    response.writeHead(answer.status, {
        ...copyEndToEndHeaders(answer.headers, gatewayHeaders),
        "content-length": answer.body.byteLength,
    });
    response.end(answer.body);
}

/**
 * Sends an answer that the gateway creates itself.
 *
 * @param response - response to end
 * @param status - HTTP status
 * @param refusal - reason, and for 503 the time after which to retry
 */
export function sendGatewayAnswer(
    response: ServerResponse,
    status: GatewayStatus,
    refusal: Pick<Refusal, "ran" | "reason"> & Partial<Refusal>,
): void {
    const { ran, reason, retryAfterSeconds } = refusal;
    const body = JSON.stringify({ ran, reason, retryAfterSeconds });
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...(status === 503 && retryAfterSeconds !== undefined ? { "retry-after": String(retryAfterSeconds) } : {}),
    });
    response.end(body);
}

/** Writes a stream of events to a caller. */
export interface StreamWriter {
    /** True once the head was sent; the answer can then only be completed or broken off. */
    readonly headSent: () => boolean;
    /**
     * Sends the head unless it was already sent.
     *
     * @param status - HTTP status
     * @param headers - headers of the backend server by lower-case name
     */
    sendHead(status: number, headers: HeaderTable): void;
    /**
     * Sends bytes.
     *
     * @param bytes - complete events, at least one byte
     * @param signal - ends the wait
     * @returns resolves once the connection accepts more; undefined if it does already
     */
    send(bytes: Uint8Array, signal: AbortSignal): Promise<void> | undefined;
    /** Marks the answer as complete. */
    end(): void;
}

/** Largest part that is copied into one buffer with its framing; the copy of a larger one costs more than it saves. */
const maximumFramedBytes = 16_384;
const lineBreak = "\r\n";

/** Encodes a part of a body as a chunk of the chunked transfer coding. */
function encodeChunk(bytes: Uint8Array): Buffer {
    const size = bytes.byteLength.toString(16);
    const start = size.length + lineBreak.length;
    const chunk = Buffer.allocUnsafe(start + bytes.byteLength + lineBreak.length);
    chunk.write(size + lineBreak, 0, "latin1");
    chunk.set(bytes, start);
    chunk.write(lineBreak, start + bytes.byteLength, "latin1");
    return chunk;
}

/**
 * Writes a part of a body. Node passes the size, the bytes and the two line breaks of a chunk to the socket as four
 * buffers, which takes longer than copying a small part.
 *
 * @returns false if the connection accepts no more for now
 */
function writePart(response: ServerResponse, bytes: Uint8Array): boolean {
    if (!response.chunkedEncoding || bytes.byteLength > maximumFramedBytes) {
        return response.write(bytes);
    }
    response.chunkedEncoding = false;
    const isAccepted = response.write(encodeChunk(bytes));
    response.chunkedEncoding = true;
    return isAccepted;
}

/**
 * Creates the writer of a stream.
 *
 * @param response - response to the caller
 * @param held - memory of the request, which counts what waits to be sent
 * @returns the writer
 */
export function createStreamWriter(response: ServerResponse, held: Holding): StreamWriter {
    async function awaitDrain(signal: AbortSignal): Promise<void> {
        const waiting = response.writableLength;
        held.block();
        held.add(waiting);
        if (!signal.aborted) {
            await once(response, "drain", { signal }).catch(() => undefined);
        }
        held.run();
        held.add(-waiting);
    }

    return {
        headSent: () => response.headersSent,
        sendHead: (status, headers) => {
            if (!response.headersSent) {
                response.writeHead(status, copyEndToEndHeaders(headers, gatewayHeaders));
                response.socket?.setNoDelay(true);
            }
        },
        send: (bytes, signal) => writePart(response, bytes) || signal.aborted ? undefined : awaitDrain(signal),
        end: () => {
            held.block();
            held.setBytes(response.writableLength);
            response.end();
        },
    };
}
