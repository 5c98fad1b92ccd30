import { connect } from "node:net";

const [port, count] = process.argv.slice(2).map(Number) as [number, number];
const head = [
    "POST /unsafe/ HTTP/1.1",
    "host: members.example",
    "attempt-id: flooding",
    "authorization: Token key-1",
    "transfer-encoding: chunked",
];
const chunks = Buffer.from("1\r\nx\r\n".repeat(10_000));

/** Sends an endless request body in single-byte chunks, and reconnects when the connection is closed. */
function flood(): void {
    const socket = connect(port, "127.0.0.1");
    const sendNext = (): void => {
        if (socket.writable) {
            socket.write(chunks, () => setImmediate(sendNext));
        }
    };
    socket.on("error", () => {});
    socket.on("close", () => setImmediate(flood));
    socket.resume();
    socket.write(`${head.join("\r\n")}\r\n\r\n`);
    sendNext();
}

Array.from({ length: count }).forEach(flood);
