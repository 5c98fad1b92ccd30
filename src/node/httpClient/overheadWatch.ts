import type { Milliseconds } from "../../types/index.js";
import type { CallState } from "./trackedClient.js";

/** Most bytes of an answer beside its body: head, sizes and extensions of chunks, trailers. */
const maximumOverheadBytes = 65_536;
/** Further such bytes for each byte of the body, which may come in chunks of one byte. */
const overheadPerBodyByte = 8;
const checkInterval: Milliseconds = 100;

/**
 * Tells whether more of an answer has arrived than can belong to it. Undici bounds its fields only.
 *
 * @param receivedBytes - bytes that the connection has received since the request was written
 * @param bodyBytes - bytes of the body among them
 * @returns true if the rest is too much for a head and a framing
 */
export function hasExcessiveOverhead(receivedBytes: number, bodyBytes: number): boolean {
    return receivedBytes - bodyBytes > maximumOverheadBytes + overheadPerBodyByte * bodyBytes;
}

/**
 * Watches the overhead of an answer.
 *
 * @param call - call that waits for the answer or reads it
 * @param onExcess - called once if there is too much
 * @returns ends the watch
 */
export function watchOverhead(call: CallState, onExcess: () => void): () => void {
    const timer = setInterval(() => {
        const received = call.connection?.readBytes() ?? 0;
        if (hasExcessiveOverhead(received - call.readBefore, call.bodyBytes)) {
            clearInterval(timer);
            onExcess();
        }
    }, checkInterval);
    return () => clearInterval(timer);
}
