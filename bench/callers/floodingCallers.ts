import { connect } from "node:net";

/** What the parent process tells this one. */
export interface Flood {
    readonly port: number;
    readonly callers: number;
    /** Head of a request with a chunked body. */
    readonly head: string;
}

const chunks = Buffer.from("1\r\nx\r\n".repeat(10_000));

/** Sends an endless request body in single-byte chunks, and reconnects when the connection is closed. */
function flood({ head, port }: Flood): void {
    const socket = connect(port, "127.0.0.1");
    const sendNext = (): void => {
        if (socket.writable) {
            socket.write(chunks, () => setImmediate(sendNext));
        }
    };
    socket.on("error", () => {});
    socket.on("close", () => setImmediate(() => flood({ head, port, callers: 1 })));
    socket.resume();
    socket.write(head);
    sendNext();
}

process.once("message", (message: Flood) => {
    Array.from({ length: message.callers }).forEach(() => flood(message));
});
