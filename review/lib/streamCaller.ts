import { connect } from "node:net";

/** Answer to a stream request. */
export interface StreamAnswer {
    readonly status: number | undefined;
    readonly text: string;
    readonly complete: boolean;
}

/** Options of {@link callStream}. */
export interface StreamCall {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly attemptId: string;
    readonly deadline: number;
    readonly headers?: readonly string[];
}

/** Tells whether a text is a whole answer, which has a length or ends with a last chunk. */
function isWhole(text: string): boolean {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return false;
    }
    const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
    return length === undefined ? text.endsWith("\r\n0\r\n\r\n") : text.length >= headEnd + 4 + Number(length);
}

/** Sends a request on a channel of its own and reads its chunked or whole answer. */
export function callStream(call: StreamCall): Promise<StreamAnswer> {
    return new Promise(resolve => {
        const socket = connect({ host: call.host, port: call.port });
        let text = "";
        let isComplete = false;
        socket.setTimeout(call.deadline + 2_000, () => socket.destroy());
        socket.on("error", () => {});
        socket.on("data", part => {
            text += part.toString("latin1");
            isComplete = isWhole(text);
            if (isComplete) {
                socket.end();
            }
        });
        socket.on("close", () => {
            const status = text.length < 12 ? undefined : Number(text.slice(9, 12));
            resolve({ status, text, complete: isComplete });
        });
        socket.write(
            [
                `POST ${call.path} HTTP/1.1`,
                "host: members.example",
                `attempt-id: ${call.attemptId}`,
                `deadline-ms: ${call.deadline}`,
                "authorization: Token key-1",
                "content-length: 0",
                ...(call.headers ?? []),
                "",
                "",
            ].join("\r\n"),
        );
    });
}
