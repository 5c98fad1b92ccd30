import { connect } from "node:net";

/** What a client has received on its channel. */
export interface RawAnswer {
    /** Undefined if no head has arrived. */
    readonly status: number | undefined;
    readonly bytes: number;
    /** Whether the last chunk has arrived. */
    readonly complete: boolean;
    /** Time until the first bytes in milliseconds; undefined if there were none. */
    readonly firstAfter: number | undefined;
    /** Time until the end in milliseconds. */
    readonly endedAfter: number;
}

/** Sends a request and reads its answer without decoding it, until the client leaves at the end of its time budget. */
export function sendRaw(
    address: { readonly host: string; readonly port: number; },
    head: readonly string[],
    body: string,
    deadline: number,
): Promise<RawAnswer> {
    const startedAt = performance.now();
    return new Promise(resolve => {
        const socket = connect(address);
        let bytes = 0;
        let begin = "";
        let tail = "";
        let firstAfter: number | undefined;
        const finish = (): void => {
            clearTimeout(timer);
            socket.destroy();
            const status = /^HTTP\/1\.1 (\d{3})/.exec(begin)?.[1];
            const length = /content-length: (\d+)/i.exec(begin)?.[1];
            resolve({
                status: status === undefined ? undefined : Number(status),
                bytes,
                complete: tail.endsWith("0\r\n\r\n") || (length !== undefined && bytes > Number(length)),
                firstAfter,
                endedAfter: performance.now() - startedAt,
            });
        };
        const timer = setTimeout(finish, deadline);
        socket.on("data", (part: Buffer) => {
            firstAfter ??= performance.now() - startedAt;
            bytes += part.length;
            begin = begin.length < 1_024 ? begin + part.toString("latin1", 0, 1_024) : begin;
            tail = (tail + part.toString("latin1", Math.max(0, part.length - 5))).slice(-5);
            if (tail.endsWith("0\r\n\r\n")) {
                finish();
            }
        });
        socket.on("end", finish);
        socket.on("error", finish);
        socket.write(`${[...head, `Content-Length: ${Buffer.byteLength(body)}`].join("\r\n")}\r\n\r\n${body}`);
    });
}
