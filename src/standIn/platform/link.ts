import type { Clock, Milliseconds } from "../../types/index.js";
import { wait } from "../http/index.js";

/** Simulated network link with a limited rate, which all transfers share. */
export interface Link {
    /** Bytes sent so far. */
    readonly sentBytes: number;
    /**
     * Sends content at the rate of the link; concurrent transfers take turns, one part at a time.
     *
     * @param content - bytes to send
     * @param signal - ends the transfer early
     * @returns the parts, each once it has been sent
     */
    send(content: Uint8Array, signal: AbortSignal): AsyncGenerator<Uint8Array>;
}

const partBytes = 65_536;

/**
 * Creates a link.
 *
 * @param clock - source of time
 * @param bytesPerSecond - rate of the link; `Infinity` for no limit
 * @returns the link
 */
export function createLink(clock: Clock, bytesPerSecond: number): Link {
    let freeAt: Milliseconds = 0;
    let sentBytes = 0;

    async function* send(content: Uint8Array, signal: AbortSignal): AsyncGenerator<Uint8Array> {
        for (let begin = 0; begin < content.byteLength; begin += partBytes) {
            const part = content.subarray(begin, begin + partBytes);
            const now = clock.monotonic();
            freeAt = Math.max(freeAt, now) + part.byteLength * 1_000 / bytesPerSecond;
            if (freeAt - now >= 1 && !await wait(freeAt - now, signal)) {
                return;
            }
            sentBytes += part.byteLength;
            yield part;
        }
    }

    return {
        get sentBytes() {
            return sentBytes;
        },
        send,
    };
}
