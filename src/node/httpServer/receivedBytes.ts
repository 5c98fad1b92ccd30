import type { IncomingMessage } from "node:http";

/** Bytes that a connection has received, as far as its requests are concerned. */
export interface ReceivedBytes {
    /** Last request whose head was read. */
    lastIncoming: IncomingMessage | undefined;
    /** Last request that was read completely. */
    lastComplete: IncomingMessage | undefined;
    /** Bytes received when that request was complete, with line breaks that follow it; 0 before the first. */
    receivedAtRest: number;
    /** Last characters that were received. */
    tail: string;
}

const tailLength = 4;
/** End of a head or of a chunked body, with a part of a line break that follows it. */
const emptyLine = /\n\r?\n\r?$/;
const lineBreakBytes: ReadonlySet<number> = new Set([10, 13]);

function isBodyDelimitedByLine({ headers }: IncomingMessage): boolean {
    return headers["content-length"] === undefined;
}

/**
 * Notes bytes that were received, after the parser has read them. Line breaks before a request are no part of it.
 *
 * @param received - what is known of the connection
 * @param part - the bytes
 * @param total - bytes received on the connection, including these
 */
export function noteReceived(received: ReceivedBytes, part: Buffer, total: number): void {
    const { lastComplete, lastIncoming, receivedAtRest } = received;
    received.tail = (received.tail + part.toString("latin1", Math.max(0, part.length - tailLength))).slice(-tailLength);
    if (lastIncoming?.complete === true && lastIncoming !== lastComplete) {
        received.lastComplete = lastIncoming;
        // The size of what follows an empty line is unknown; one byte tells that something does.
        const hasMore = isBodyDelimitedByLine(lastIncoming) && !emptyLine.test(received.tail);
        received.receivedAtRest = hasMore ? total - 1 : total;
    }
    else if (total - part.length === receivedAtRest && part.every(byte => lineBreakBytes.has(byte))) {
        received.receivedAtRest = total;
    }
}
