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
            isComplete = text.endsWith("0\r\n\r\n") || /^HTTP\/1\.1 [^2]/.test(text);
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
