import type { MemoryReservation, ResponseMemoryLimit } from "./responseMemoryLimit.js";

/** Thrown if the unread bytes of a response body, or of all response bodies together, exceed their limit. */
export class ResponseTooLargeError extends Error {}

/** Message for a response that is aborted to free memory for others. */
export const memoryExceededMessage = "the response was aborted to free memory for other responses";

/** Memory of a part of a body beside its bytes, which is most of it for a peer that sends a few bytes at a time. */
export const partOverheadBytes = 512;

/** Largest part that is copied to the end of the one before it, if that has not been read. */
const maximumJoinedBytes = 1_024;
/** Size of the buffer in which small parts are joined. */
const joinedBufferBytes = 16_384;

/** Limits of {@link createArrivingBody}. */
export interface ReadAheadLimits {
    /** Unread bytes of the body that are kept; the response is aborted if there are more. */
    readonly maximumUnreadBytes: number;
    /** Limit on the bytes of all bodies together. */
    readonly memoryLimit: ResponseMemoryLimit | undefined;
}

/** What a body needs of its call. */
export interface BodyHandlers {
    /** Aborts the call, and with it the connection, unless another call has begun on it. */
    abort(reason: Error): void;
    /** Called once, when nothing more of the body can arrive. */
    onClose(): void;
    /** Checks a body whose end has arrived; throws if it may be incomplete. */
    checkEnd(): void;
    /**
     * Describes why a body ended early, as its reader gets it.
     *
     * @param cause - error that ended the body
     * @param bytes - bytes that were read before
     */
    describe(cause: unknown, bytes: number): Error;
}

/** Body of a response, which buffers what has arrived and was not read. Its reader never pauses it. */
export interface ArrivingBody {
    /** Adds a part that has arrived. */
    receive(part: Uint8Array): void;
    /** Notes that the last part has arrived. */
    end(): void;
    /** Ends the body early. Has no effect once it has arrived completely and the event loop has gone on. */
    destroy(cause: Error): void;
    /** Parts of the body, to be iterated once; throws the error that ended the body early after the buffered parts. */
    readonly parts: AsyncIterable<Uint8Array>;
}

type PartResult = IteratorResult<Uint8Array, undefined>;

interface PendingRead {
    readonly resolve: (result: PartResult) => void;
    readonly reject: (cause: unknown) => void;
}

const done: PartResult = { done: true, value: undefined };

/**
 * Creates the body of a response whose head has arrived. It takes no stream, whose events and states would cost several
 * times as much for each part.
 *
 * @param limits - limits on the buffered bytes
 * @param handlers - call of the body
 * @returns the body, without a part
 */
export function createArrivingBody(limits: ReadAheadLimits, handlers: BodyHandlers): ArrivingBody {
    const { maximumUnreadBytes, memoryLimit } = limits;
    let buffered: (Uint8Array | undefined)[] = [];
    let nextBuffered = 0;
    /** Buffer of the last part that is buffered, if small parts are joined in it. */
    let joined: Buffer | undefined;
    let unread = 0;
    let readBytes = 0;
    let started = false;
    let ended = false;
    let closed = false;
    let finished = false;
    let failure: Error | undefined;
    let pending: PendingRead | undefined;
    const reservation: MemoryReservation | undefined = memoryLimit?.open(() =>
        destroy(new ResponseTooLargeError(memoryExceededMessage))
    );

    function close(): void {
        if (closed) {
            return;
        }
        closed = true;
        if (!started) {
            reservation?.close();
        }
        handlers.onClose();
    }

    function destroy(cause: Error): void {
        if (closed) {
            return;
        }
        failure = cause;
        close();
        handlers.abort(cause);
        settle();
    }

    /** Answers the read that waits, once the body has ended. */
    function settle(): void {
        if (pending !== undefined) {
            const { reject, resolve } = pending;
            pending = undefined;
            try {
                resolve(finish());
            }
            catch (cause) {
                reject(cause);
            }
        }
    }

    /** Ends the iteration after the last buffered part; throws if the body ended early. */
    function finish(): PartResult {
        if (finished) {
            return done;
        }
        finished = true;
        reservation?.close();
        try {
            if (failure !== undefined) {
                throw failure;
            }
            handlers.checkEnd();
        }
        catch (cause) {
            throw handlers.describe(cause, readBytes);
        }
        return done;
    }

    function takeBuffered(): Uint8Array | undefined {
        if (nextBuffered === buffered.length) {
            return undefined;
        }
        const part = buffered[nextBuffered];
        buffered[nextBuffered] = undefined;
        nextBuffered++;
        if (nextBuffered === buffered.length) {
            buffered = [];
            nextBuffered = 0;
            joined = undefined;
        }
        return part;
    }

    /** Copies a small part to the end of the last one. Returns false if there is no room for it. */
    function join(part: Uint8Array): boolean {
        const last = buffered.at(-1);
        if (joined === undefined || last === undefined || last.byteLength + part.byteLength > joined.byteLength) {
            return false;
        }
        joined.set(part, last.byteLength);
        buffered[buffered.length - 1] = joined.subarray(0, last.byteLength + part.byteLength);
        return true;
    }

    function addBuffered(part: Uint8Array): void {
        if (part.byteLength > maximumJoinedBytes) {
            joined = undefined;
            buffered.push(part);
            reservation?.add(part.byteLength + partOverheadBytes);
        }
        else if (join(part)) {
            reservation?.add(part.byteLength);
        }
        else {
            joined = Buffer.allocUnsafeSlow(joinedBufferBytes);
            joined.set(part);
            buffered.push(joined.subarray(0, part.byteLength));
            reservation?.add(part.byteLength + partOverheadBytes);
        }
    }

    function read(): Promise<PartResult> {
        started = true;
        const part = takeBuffered();
        if (part !== undefined) {
            unread -= part.byteLength;
            readBytes += part.byteLength;
            reservation?.add(-part.byteLength - partOverheadBytes);
            return Promise.resolve({ done: false, value: part });
        }
        if (finished || ended || failure !== undefined) {
            return new Promise(resolve => {
                resolve(finish());
            });
        }
        return new Promise((resolve, reject) => {
            pending = { resolve, reject };
        });
    }

    function stop(): Promise<PartResult> {
        finished = true;
        buffered = [];
        nextBuffered = 0;
        joined = undefined;
        reservation?.close();
        if (!ended) {
            destroy(new Error("the response was aborted by its reader"));
        }
        return Promise.resolve(done);
    }

    return {
        receive: part => {
            if (closed) {
                return;
            }
            if (pending !== undefined) {
                // The reader waits for it, so that it is not buffered.
                const { resolve } = pending;
                pending = undefined;
                readBytes += part.byteLength;
                resolve({ done: false, value: part });
                return;
            }
            unread += part.byteLength;
            addBuffered(part);
            if (unread > maximumUnreadBytes) {
                destroy(new ResponseTooLargeError(`more than ${maximumUnreadBytes} bytes of the response are unread`));
            }
        },
        end: () => {
            ended = true;
            settle();
            // A response that is found to be wrong as soon as its head is read still ends its connection.
            setImmediate(close);
        },
        destroy,
        parts: { [Symbol.asyncIterator]: () => ({ next: read, return: stop }) },
    };
}
