import type { Milliseconds } from "../../types/index.js";
import type { CallState } from "./trackedClient.js";

/** Maximum bytes of a response besides its body: head, sizes and extensions of chunks, trailers. */
const maximumOverheadBytes = 65_536;
/** Additional overhead bytes that are allowed for each byte of the body, which may come in chunks of one byte. */
const overheadBytesPerBodyByte = 8;
const overheadCheckInterval: Milliseconds = 100;

/**
 * Tells whether a response has more overhead than a valid one can have. Undici limits only the size of the header
 * fields.
 *
 * @param receivedBytes - bytes that the connection has received since the request was written
 * @param bodyBytes - how many of them belong to the body
 * @returns true if the other bytes exceed the limit for head and framing
 */
export function hasExcessiveOverhead(receivedBytes: number, bodyBytes: number): boolean {
    return receivedBytes - bodyBytes > maximumOverheadBytes + overheadBytesPerBodyByte * bodyBytes;
}

interface WatchedCall {
    readonly call: CallState;
    readonly onExcess: () => void;
}

/** Calls of the process, which share one timer: one for each call would wake the event loop for each of them. */
const watchedCalls = new Set<WatchedCall>();
let checks: NodeJS.Timeout | undefined;

function checkCalls(): void {
    for (const watched of watchedCalls) {
        const { call, onExcess } = watched;
        const received = call.connection?.countReceivedBytes() ?? 0;
        if (hasExcessiveOverhead(received - call.receivedBeforeCall, call.bodyBytes)) {
            watchedCalls.delete(watched);
            onExcess();
        }
    }
}

/**
 * Checks the overhead of a response at intervals, from its first bytes on. A call that waits for a response, like a long
 * poll, needs no timer.
 *
 * @param call - call that waits for the response or reads it
 * @param onExcess - called once if the overhead is excessive
 * @returns function that ends the checks
 */
export function watchOverhead(call: CallState, onExcess: () => void): () => void {
    const watched: WatchedCall = { call, onExcess };
    call.onReceived = () => {
        call.onReceived = undefined;
        watchedCalls.add(watched);
        checks ??= setInterval(checkCalls, overheadCheckInterval);
    };
    return () => {
        call.onReceived = undefined;
        watchedCalls.delete(watched);
        if (watchedCalls.size === 0) {
            clearInterval(checks);
            checks = undefined;
        }
    };
}
