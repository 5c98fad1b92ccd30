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
const idPattern = /^id: ?(.*?)\r?$/m;
const emptyBuffer = Buffer.alloc(0);
const dataPattern = /^data(?::|\r?$)/m;

/** Finds the end of the first event, which is the position after the first empty line; -1 if there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
    for (let index = bytes.indexOf(lineFeed, from); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        const next = bytes[index + 1];
        if (next === lineFeed) {
            return index + 2;
        }
        if (next === carriageReturn && bytes[index + 2] === lineFeed) {
            return index + 3;
        }
    }
    return -1;
}

/** Maximum bytes of one event, which is held in memory until it is complete. */
export const maximumEventBytes = 262_144;

/** Maximum bytes at the end of the pending data that may be the beginning of an empty line. */
const emptyLinePrefixBytes = 3;

/**
 * Creates a splitter for the stream of one attempt.
 *
 * @returns the splitter
 */
export function createEventSplitter(): EventSplitter {
    let pending: Buffer = emptyBuffer;

    return {
        pendingBytes: () => pending.length,
        push: part => {
            let searched = Math.max(0, pending.length - emptyLinePrefixBytes);
            const isWhole = pending.length === 0;
            pending = isWhole ?
                Buffer.from(part.buffer, part.byteOffset, part.byteLength) :
                Buffer.concat([pending, part]);
            const events: StreamEvent[] = [];
            for (;;) {
                const end = findEventEnd(pending, searched);
                if (end < 0) {
                    if (pending.length > maximumEventBytes) {
                        throw new Error(`an event is larger than ${maximumEventBytes} bytes`);
                    }
                    // The end of a part is copied, since it would keep all of the bytes that were read with it in memory.
                    pending = pending.length === 0 ? emptyBuffer : isWhole ? Buffer.from(pending) : pending;
                    return events;
                }
                const bytes = pending.subarray(0, end);
                const text = bytes.toString("utf8");
                events.push({ bytes, id: idPattern.exec(text)?.[1], hasData: dataPattern.test(text) });
                pending = pending.subarray(end);
                searched = 0;
            }
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
