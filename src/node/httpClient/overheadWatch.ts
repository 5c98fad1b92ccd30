import type { CallState } from "./trackedClient.js";

/** Maximum bytes of a response besides its body: head, sizes and extensions of chunks, trailers. */
const maximumOverheadBytes = 65_536;
/** Additional overhead bytes that are allowed for each byte of the body, which may come in chunks of one byte. */
const overheadBytesPerBodyByte = 8;

/**
 * Tells whether a response has more overhead than a valid one can have. Undici limits only the size of the header
 * fields.
 *
 * @param receivedBytes - bytes of the response that were parsed
 * @param bodyBytes - how many of them belong to the body
 * @returns true if the other bytes exceed the limit for head and framing
 */
export function hasExcessiveOverhead(receivedBytes: number, bodyBytes: number): boolean {
    return receivedBytes - bodyBytes > maximumOverheadBytes + overheadBytesPerBodyByte * bodyBytes;
}

/**
 * Checks the overhead of a response each time that bytes of it are read, before they are parsed. One poll of the event
 * loop may bring many reads, between which no timer runs.
 *
 * @param call - call that waits for the response or reads it
 * @param onExcess - called once if the overhead is excessive
 * @returns function that ends the checks
 */
export function watchOverhead(call: CallState, onExcess: () => void): () => void {
    const end = (): void => {
        call.onReceived = undefined;
    };
    call.onReceived = parsedBytes => {
        if (hasExcessiveOverhead(parsedBytes - call.receivedBeforeCall, call.bodyBytes)) {
            end();
            // The connection is not closed while it is being read.
            process.nextTick(onExcess);
        }
    };
    return end;
}
