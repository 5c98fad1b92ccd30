import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { sleep } from "../../../src/utils/index.js";

/** How a call ended: `late` if the caller gave up at its deadline. */
export type CallEnding = "whole" | "cut" | "late";

/** Result of a call. */
export interface CallResult {
    readonly ending: CallEnding;
    /** Undefined if no head arrived. */
    readonly status: number | undefined;
    readonly head: string;
    readonly bodyBytes: number;
    readonly milliseconds: number;
    /** Milliseconds after which the whole request had been handed to the system; undefined if it never was. */
    readonly sentAfter: number | undefined;
    /** Code of the error that ended the connection; undefined if there was none. */
    readonly error: string | undefined;
}

/** Options of {@link Channel.call}. */
export interface ChannelCall {
    readonly path: string;
    readonly attemptId: string;
    /** Milliseconds after which the caller gives up. */
    readonly deadline: number;
    /** Bytes a second that the caller reads. Default: as many as arrive. */
    readonly bytesPerSecond?: number | undefined;
    /** API key. Default: the one of the operator's configuration. */
    readonly key?: string | undefined;
    /** Body, sent in `bodyParts` parts (default: 2) with pauses of `bodyPause` milliseconds between them. Default: none. */
    readonly body?: string | undefined;
    readonly bodyParts?: number | undefined;
    readonly bodyPause?: number | undefined;
    /** True if the body is sent in chunks instead of with a length. */
    readonly isChunked?: boolean | undefined;
}

/** Connection of a caller that is kept open for several requests. */
export interface Channel extends Disposable {
    readonly isOpen: () => boolean;
    /** Sends a request and reads its answer. */
    call(options: ChannelCall): Promise<CallResult>;
}

const headEndMark = "\r\n\r\n";
const lastChunk = "\r\n0\r\n\r\n";

/** Collects one answer, of which only head, size and end are kept. */
class Answer {
    head: string | undefined;
    bodyBytes = 0;
    private text = "";

    push(part: Buffer): void {
        this.text += part.toString("latin1");
        if (this.head === undefined) {
            const headEnd = this.text.indexOf(headEndMark);
            if (headEnd < 0) {
                return;
            }
            this.head = this.text.slice(0, headEnd);
            this.text = this.text.slice(headEnd + 2);
            this.bodyBytes -= 2;
        }
        this.bodyBytes += this.text.length - this.kept;
        this.text = this.text.slice(-lastChunk.length);
        this.kept = this.text.length;
    }

    get isWhole(): boolean {
        const length = /\r\ncontent-length: (\d+)/i.exec(this.head ?? "")?.[1];
        return this.head !== undefined &&
            (length === undefined ? this.text.endsWith(lastChunk) : this.bodyBytes >= Number(length));
    }

    private kept = 0;
}

function write(socket: Socket, text: string): Promise<void> {
    return new Promise(resolve => void socket.write(text, () => resolve()));
}

function encodePart(part: string, isChunked: boolean): string {
    return isChunked ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
}

/** Sends a request; tells whether all of it was handed to the system. */
async function sendRequest(socket: Socket, call: ChannelCall): Promise<boolean> {
    const { attemptId, body = "", bodyParts = 2, bodyPause = 0, deadline, isChunked = false, key = "key-1", path } =
        call;
    const head = [
        `POST ${path} HTTP/1.1`,
        "host: members.example",
        `attempt-id: ${attemptId}`,
        `deadline-ms: ${deadline}`,
        `authorization: Token ${key}`,
        isChunked ? "transfer-encoding: chunked" : `content-length: ${body.length}`,
    ].join("\r\n");
    const size = Math.max(1, Math.ceil(body.length / bodyParts));
    let sent = write(socket, head + headEndMark + encodePart(body.slice(0, size), isChunked && body !== ""));
    for (let from = size; from < body.length; from += size) {
        if (bodyPause > 0) {
            await sleep(bodyPause);
        }
        if (socket.destroyed) {
            return false;
        }
        sent = write(socket, encodePart(body.slice(from, from + size), isChunked));
    }
    if (isChunked) {
        sent = write(socket, "0\r\n\r\n");
    }
    await sent;
    return !socket.destroyed;
}

type ReceivedAnswer = Omit<CallResult, "sentAfter" | "error">;

function receive(socket: Socket, call: ChannelCall): Promise<ReceivedAnswer> {
    return new Promise(resolve => {
        const answer = new Answer();
        const startedAt = performance.now();
        let readSince: number | undefined;
        let bytes = 0;
        const timer = setTimeout(() => finish("late"), call.deadline);
        const finish = (ending: CallEnding): void => {
            clearTimeout(timer);
            socket.off("data", read).off("close", handleClose);
            if (ending !== "whole" || /\r\nconnection: close/i.test(answer.head ?? "")) {
                socket.destroy();
            }
            const { bodyBytes, head } = answer;
            const milliseconds = performance.now() - startedAt;
            const status = head === undefined ? undefined : Number(head.slice(9, 12));
            resolve({ ending, status, head: head ?? "", bodyBytes, milliseconds });
        };
        const handleClose = (): void => finish("cut");
        const read = (part: Buffer): void => {
            readSince ??= performance.now();
            bytes += part.length;
            answer.push(part);
            if (answer.isWhole) {
                finish("whole");
                return;
            }
            const ahead = bytes / (call.bytesPerSecond ?? Infinity) * 1_000 - (performance.now() - readSince);
            if (ahead > 5) {
                socket.pause();
                setTimeout(() => socket.resume(), ahead);
            }
        };
        socket.on("data", read).once("close", handleClose);
        if (socket.destroyed) {
            handleClose();
        }
    });
}

/**
 * Opens a channel to a gateway.
 *
 * @param gateway - host and port for callers
 * @returns the channel; undefined if it is refused
 */
export async function openChannel(
    gateway: { readonly host: string; readonly port: number; },
): Promise<Channel | undefined> {
    const socket = connect(gateway.port, gateway.host);
    try {
        await once(socket, "connect");
    }
    catch {
        return undefined;
    }
    let error: string | undefined;
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
        error = code;
    });
    socket.on("end", () => socket.destroy());
    return {
        isOpen: () => !socket.destroyed,
        call: async options => {
            const startedAt = performance.now();
            const received = receive(socket, options);
            let sentAfter: number | undefined;
            const sent = sendRequest(socket, options).then(isWhole => {
                sentAfter = isWhole ? performance.now() - startedAt : undefined;
            });
            const answer = await received;
            await sent;
            return { ...answer, sentAfter, error };
        },
        [Symbol.dispose]: () => void socket.destroy(),
    };
}
