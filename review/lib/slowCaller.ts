import { connect } from "node:net";
import { record } from "./case.js";

/** What a caller received. */
export interface Received {
    readonly attemptId: string;
    /** Undefined if the channel ended before the head of the answer. */
    readonly status: number | undefined;
    readonly headers: string;
    readonly body: Buffer;
    /** True if the body has the stated length. */
    readonly complete: boolean;
    /** Milliseconds from the last byte of the request to the end of the answer. */
    readonly duration: number;
}

/** Options of {@link callSlowly}. */
export interface SlowCall {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly attemptId: string;
    readonly deadline: number;
    /** Bytes a second that the caller reads. */
    readonly bytesPerSecond: number;
}

/** Sends a POST on a channel of its own and reads the answer at a steady pace. */
export function callSlowly(options: SlowCall): Promise<Received> {
    const { attemptId, bytesPerSecond, deadline, host, path, port } = options;
    return new Promise(resolve => {
        const parts: Buffer[] = [];
        let bytes = 0;
        let headEnd = -1;
        let startedAt = performance.now();
        const sentAt = startedAt;
        const socket = connect({ host, port });
        const readLength = (head: string): number => Number(/content-length: (\d+)/i.exec(head)?.[1] ?? Number.NaN);
        const finish = (how: string): void => {
            const all = Buffer.concat(parts);
            const head = headEnd < 0 ? "" : all.subarray(0, headEnd).toString("latin1");
            const body = headEnd < 0 ? Buffer.alloc(0) : all.subarray(headEnd + 4);
            const status = headEnd < 0 ? undefined : Number(head.slice(9, 12));
            const complete = body.length === readLength(head);
            const duration = performance.now() - sentAt;
            record(
                `answer to ${attemptId}: status ${status}, ${body.length} of ${readLength(head)} bytes, ${how}, ` +
                    `after ${Math.round(duration)} ms`,
            );
            socket.destroy();
            resolve({ attemptId, status, headers: head, body, complete, duration });
        };
        let isDone = false;
        const finishOnce = (how: string): void => {
            if (!isDone) {
                isDone = true;
                finish(how);
            }
        };
        socket.on("data", part => {
            if (bytes === 0) {
                startedAt = performance.now();
            }
            parts.push(part);
            bytes += part.length;
            if (headEnd < 0) {
                headEnd = Buffer.concat(parts).indexOf("\r\n\r\n");
            }
            if (headEnd >= 0) {
                const head = Buffer.concat(parts.slice(0, 2)).subarray(0, headEnd).toString("latin1");
                if (bytes - headEnd - 4 >= readLength(head)) {
                    finishOnce("whole");
                    return;
                }
            }
            const ahead = bytes / bytesPerSecond * 1_000 - (performance.now() - startedAt);
            if (ahead > 5) {
                socket.pause();
                setTimeout(() => socket.resume(), ahead);
            }
        });
        socket.on("end", () => finishOnce("the channel was closed"));
        socket.on("error", error => finishOnce(`the channel failed: ${error.message}`));
        socket.on("close", () => finishOnce("the channel was closed"));
        record(`${attemptId} is sent to ${host}`);
        socket.write(
            [
                `POST ${path} HTTP/1.1`,
                "host: members.example",
                `attempt-id: ${attemptId}`,
                `deadline-ms: ${deadline}`,
                "authorization: Token key-1",
                "content-length: 0",
                "",
                "",
            ].join("\r\n"),
        );
    });
}
