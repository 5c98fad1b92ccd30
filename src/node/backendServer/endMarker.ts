import type { HttpFailure } from "../httpClient/index.js";

const marker = Buffer.from("data: [DONE]");
/** Bytes at the end of the stream that are kept: the marker with the line ends after it fits in them. */
const keptTailBytes = 32;

/**
 * Passes an event stream through and checks that it ends with the event `data: [DONE]`. An engine that crashes may
 * close its connection gracefully, so the end of the connection alone does not show that a response is complete.
 *
 * @param body - parts of the stream
 * @returns the same parts; throws an `Error` whose `cause` is an {@link HttpFailure} if the marker is missing
 */
export async function* checkEndMarker(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    let tail: Buffer = Buffer.alloc(0);
    for await (const part of body) {
        tail = Buffer.concat([tail, part.subarray(-keptTailBytes)]).subarray(-keptTailBytes);
        yield part;
    }
    if (!tail.toString("latin1").trimEnd().endsWith(marker.toString("latin1"))) {
        const message = "the stream ended without its end marker";
        const cause: HttpFailure = { reason: "connection", headReceived: true, requestWritten: true, message };
        throw new Error(message, { cause });
    }
}
