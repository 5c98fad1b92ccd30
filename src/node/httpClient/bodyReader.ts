import { on } from "node:events";
import type { Readable } from "node:stream";
import type { MemoryReservation, ResponseMemoryLimit } from "./responseMemoryLimit.js";

/** Thrown if the unread bytes of a response body, or of all response bodies together, exceed their limit. */
export class ResponseTooLargeError extends Error {}

/** Message for a response that is aborted to free memory for others. */
export const memoryExceededMessage = "the response was aborted to free memory for other responses";

/** Memory of a part of a body beside its bytes, which is most of it for a peer that sends a few bytes at a time. */
export const partOverheadBytes = 512;

/** Limits of {@link readAhead}. */
export interface ReadAheadLimits {
    /** Unread bytes of the body that are kept; the response is aborted if there are more. */
    readonly maximumUnreadBytes: number;
    /** Limit on the bytes of all bodies together. */
    readonly memoryLimit: ResponseMemoryLimit | undefined;
}

/** Reserves memory for the bytes of a body, which is destroyed when its memory is needed for other responses. */
function reserveMemory(body: Readable, memoryLimit: ResponseMemoryLimit | undefined): MemoryReservation | undefined {
    return memoryLimit?.open(() => body.destroy(new ResponseTooLargeError(memoryExceededMessage)));
}

/**
 * Reads a body as it arrives, and buffers what its consumer has not read. The body is never paused: if the connection
 * of a paused response ends, undici throws an error that no caller can catch.
 *
 * @param body - body of a response
 * @param limits - limits on the buffered bytes
 * @returns parts of the body, to be iterated once; throws the error that ended the body early
 */
export function readAhead(body: Readable, limits: ReadAheadLimits): AsyncIterable<Uint8Array> {
    const { memoryLimit, maximumUnreadBytes } = limits;
    const reservation = reserveMemory(body, memoryLimit);
    let unread = 0;
    let started = false;
    let ended = false;
    body.once("end", () => {
        ended = true;
    });
    const arrivals = on(body, "data", { close: ["end", "close"] }) as AsyncIterable<[Uint8Array]>;
    body.on("data", (part: Uint8Array) => {
        unread += part.byteLength;
        reservation?.add(part.byteLength + partOverheadBytes);
        if (unread > maximumUnreadBytes) {
            body.destroy(
                new ResponseTooLargeError(`more than ${maximumUnreadBytes} bytes of the response are unread`),
            );
        }
    });
    body.once("close", () => {
        if (!started) {
            reservation?.close();
        }
    });

    return (async function*() {
        started = true;
        try {
            for await (const [part] of arrivals) {
                unread -= part.byteLength;
                reservation?.add(-part.byteLength - partOverheadBytes);
                yield part;
            }
            if (!ended) {
                throw new Error("the response was aborted before its end");
            }
        }
        finally {
            reservation?.close();
            if (!ended) {
                body.destroy();
            }
        }
    })();
}
