import { on } from "node:events";
import type { Readable } from "node:stream";

/** More bytes of a body have arrived unread than are kept. */
export class UnreadLimitError extends Error {
    constructor(maximumBytes: number) {
        super(`more than ${maximumBytes} bytes of the answer wait to be read`);
    }
}

/**
 * Reads a body as it arrives, and keeps what its consumer has not asked for. The body is never paused, since undici
 * throws outside of any call if the connection of a paused answer ends.
 *
 * @param body - body of an answer
 * @param maximumUnreadBytes - bytes that are kept; the body is given up if more arrive
 * @returns parts of the body, to be read once; throws the error that ended the body early
 */
export function readAhead(body: Readable, maximumUnreadBytes: number): AsyncIterable<Uint8Array> {
    let unread = 0;
    let ended = false;
    body.once("end", () => {
        ended = true;
    });
    const arrivals = on(body, "data", { close: ["end", "close"] }) as AsyncIterable<[Uint8Array]>;
    body.on("data", (part: Uint8Array) => {
        unread += part.byteLength;
        if (unread > maximumUnreadBytes) {
            body.destroy(new UnreadLimitError(maximumUnreadBytes));
        }
    });

    return (async function*() {
        try {
            for await (const [part] of arrivals) {
                unread -= part.byteLength;
                yield part;
            }
            if (!ended) {
                throw new Error("the answer was given up before its end");
            }
        }
        finally {
            if (!ended) {
                body.destroy();
            }
        }
    })();
}
