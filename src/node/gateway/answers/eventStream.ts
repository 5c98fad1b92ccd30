/** Server-sent event as it was received. */
export interface StreamEvent {
    /** Bytes of the event, including the empty line that ends it. */
    readonly bytes: Buffer;
    /** Value of the `id` field; undefined if there is none. */
    readonly id: string | undefined;
    /** False for comments and other events that deliver nothing to the caller. */
    readonly hasData: boolean;
}

/** Splits a stream into complete events. */
export interface EventSplitter {
    /**
     * Adds a part of the stream.
     *
     * @param part - bytes in the order in which they were received
     * @returns events that are now complete
     * @throws Error if an event is larger than {@link maximumEventBytes}
     */
    push(part: Uint8Array): readonly StreamEvent[];
    /** Counts the bytes that belong to no complete event yet. */
    readonly pendingBytes: () => number;
}

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;
const idPattern = /^id: ?(.*?)\r?$/m;
const dataPattern = /^data(?::|\r?$)/m;
const emptyBuffer = Buffer.alloc(0);

/** Maximum bytes of one event, which is held in memory until it is complete. */
export const maximumEventBytes = 262_144;

/** Smallest buffer for the beginning of an event. */
const minimumPendingBytes = 256;
/** Maximum bytes at the end of the pending data that may be the beginning of an empty line. */
const emptyLinePrefixBytes = 3;

/** Finds the position after an empty line that begins at a position; -1 if none begins there. */
function findLineBreakEnd(bytes: Buffer, index: number): number {
    if (bytes[index] === lineFeed) {
        return index + 1;
    }
    return bytes[index] === carriageReturn && bytes[index + 1] === lineFeed ? index + 2 : -1;
}

/**
 * Finds the end of the first event, which is the position after the first empty line and those that follow it; -1 if there
 * is none.
 */
function findEventEnd(bytes: Buffer, from: number): number {
    for (let index = bytes.indexOf(lineFeed, from); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        let end = -1;
        for (let next = findLineBreakEnd(bytes, index + 1); next >= 0; next = findLineBreakEnd(bytes, next)) {
            end = next;
        }
        if (end >= 0) {
            return end;
        }
    }
    return -1;
}

/** Beginning of an event, in a buffer that grows by doubling, so that each byte is copied a constant number of times. */
interface PendingEvent {
    readonly bytes: () => Buffer;
    append(part: Uint8Array): void;
    /** Replaces the bytes with a copy, since the part that they come from would be kept in memory otherwise. */
    replace(rest: Uint8Array): void;
}

function createPendingEvent(): PendingEvent {
    let buffer = emptyBuffer;
    let length = 0;

    function append(part: Uint8Array): void {
        const needed = length + part.byteLength;
        if (needed > buffer.byteLength) {
            const grown = Buffer.allocUnsafeSlow(Math.max(minimumPendingBytes, 2 * buffer.byteLength, needed));
            grown.set(buffer.subarray(0, length));
            buffer = grown;
        }
        buffer.set(part, length);
        length = needed;
    }

    return {
        bytes: () => buffer.subarray(0, length),
        append,
        replace: rest => {
            // Events that were returned are parts of the former buffer, which is therefore not used again.
            buffer = emptyBuffer;
            length = 0;
            if (rest.byteLength > 0) {
                append(rest);
            }
        },
    };
}

function isLineBreak(byte: number): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** Tells whether an event is a single comment or consists of empty lines, which is known without decoding it. */
function isPlainlyIdle(bytes: Buffer): boolean {
    return bytes[0] === colon ? findLineBreakEnd(bytes, bytes.indexOf(lineFeed) + 1) >= 0 : bytes.every(isLineBreak);
}

function readEvent(bytes: Buffer): StreamEvent {
    if (isPlainlyIdle(bytes)) {
        return { bytes, id: undefined, hasData: false };
    }
    const text = bytes.toString("utf8");
    return { bytes, id: idPattern.exec(text)?.[1], hasData: dataPattern.test(text) };
}

/** Tells whether an event is a comment or an empty line. */
function isIdle({ hasData, id }: StreamEvent): boolean {
    return !hasData && id === undefined;
}

/**
 * Creates a splitter for the stream of one attempt.
 *
 * @returns the splitter
 */
export function createEventSplitter(): EventSplitter {
    const pending = createPendingEvent();

    /** Splits bytes into events; those without content that follow each other are joined. */
    function split(bytes: Buffer, from: number): { readonly events: StreamEvent[]; readonly end: number; } {
        const events: StreamEvent[] = [];
        let start = 0;
        let previousStart = 0;
        for (let end = findEventEnd(bytes, from); end >= 0; end = findEventEnd(bytes, start)) {
            const event = readEvent(bytes.subarray(start, end));
            const previous = events.at(-1);
            if (previous !== undefined && isIdle(previous) && isIdle(event)) {
                events[events.length - 1] = { ...event, bytes: bytes.subarray(previousStart, end) };
            }
            else {
                events.push(event);
                previousStart = start;
            }
            start = end;
        }
        return { events, end: start };
    }

    return {
        pendingBytes: () => pending.bytes().byteLength,
        push: part => {
            const waiting = pending.bytes().byteLength;
            if (waiting > 0) {
                pending.append(part);
            }
            const bytes = waiting > 0 ? pending.bytes() : Buffer.from(part.buffer, part.byteOffset, part.byteLength);
            const { end, events } = split(bytes, Math.max(0, waiting - emptyLinePrefixBytes));
            if (bytes.byteLength - end > maximumEventBytes) {
                throw new Error(`an event is larger than ${maximumEventBytes} bytes`);
            }
            if (waiting === 0 || end > 0) {
                pending.replace(bytes.subarray(end));
            }
            return events;
        },
    };
}

/**
 * Tells whether an event is later than another one.
 *
 * @param id - identifier of the event
 * @param last - identifier of the last event that was sent to the caller
 * @returns false if both are numbers and the event is not later, for example if a resumed stream repeats it
 */
export function isLaterEvent(id: string | undefined, last: string | undefined): boolean {
    if (id === undefined || last === undefined) {
        return true;
    }
    const current = Number(id);
    const previous = Number(last);
    return Number.isNaN(current) || Number.isNaN(previous) || current > previous;
}
