import { on } from "node:events";
import type { Readable } from "node:stream";
import type { AnswerHold, HeldBytes } from "./heldBytes.js";

/** More bytes of an answer have arrived than are kept. */
export class AnswerTooLargeError extends Error {}

/** Message for an answer that is given up for others. */
export const neededElsewhere = "the answer takes memory that other answers need";

/** Limits of {@link readAhead}. */
export interface ReadAheadLimits {
    /** Bytes that are kept of the body; it is given up if more arrive. */
    readonly maximumUnreadBytes: number;
    /** Bound on the bytes of all bodies. */
    readonly heldBytes: HeldBytes | undefined;
}

/** Counts the bytes of a body, which is destroyed when it has to be given up. */
function holdBody(body: Readable, heldBytes: HeldBytes | undefined): AnswerHold | undefined {
    return heldBytes?.open(() => body.destroy(new AnswerTooLargeError(neededElsewhere)));
}

/**
 * Reads a body as it arrives, and keeps what its consumer has not asked for. The body is never paused, since undici
 * throws outside of any call if the connection of a paused answer ends.
 *
 * @param body - body of an answer
 * @param limits - bytes that are kept
 * @returns parts of the body, to be read once; throws the error that ended the body early
 */
export function readAhead(body: Readable, limits: ReadAheadLimits): AsyncIterable<Uint8Array> {
    const { heldBytes, maximumUnreadBytes } = limits;
    const hold = holdBody(body, heldBytes);
    let unread = 0;
    let started = false;
    let ended = false;
    body.once("end", () => {
        ended = true;
    });
    const arrivals = on(body, "data", { close: ["end", "close"] }) as AsyncIterable<[Uint8Array]>;
    body.on("data", (part: Uint8Array) => {
        unread += part.byteLength;
        hold?.add(part.byteLength);
        if (unread > maximumUnreadBytes) {
            body.destroy(
                new AnswerTooLargeError(`more than ${maximumUnreadBytes} bytes of the answer wait to be read`),
            );
        }
    });
    body.once("close", () => {
        if (!started) {
            hold?.close();
        }
    });

    return (async function*() {
        started = true;
        try {
            for await (const [part] of arrivals) {
                unread -= part.byteLength;
                hold?.add(-part.byteLength);
                yield part;
            }
            if (!ended) {
                throw new Error("the answer was given up before its end");
            }
        }
        finally {
            hold?.close();
            if (!ended) {
                body.destroy();
            }
        }
    })();
}
