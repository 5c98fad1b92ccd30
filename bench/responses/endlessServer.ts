import { createServer, type Socket } from "node:net";

/** What the server sends after the head of each response, without end. */
export type ResponseKind =
    | "blank-lines"
    | "chunk-extension"
    | "comments"
    | "events-below-limit"
    | "interim-responses"
    | "large-chunks"
    | "single-byte-chunks"
    | "single-byte-writes"
    | "trailers";

interface EndlessResponse {
    readonly begin: string;
    readonly repeat: string;
    /** Whether each chunk is written by itself, so that most reads bring few bytes. */
    readonly isSplit?: boolean;
}

const head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const responses: Readonly<Record<ResponseKind, EndlessResponse>> = {
    "blank-lines": { begin: head, repeat: toChunk("\n".repeat(16_384)) },
    "chunk-extension": { begin: `${head}1;`, repeat: "x".repeat(16_384) },
    comments: { begin: head, repeat: toChunk(": x\n\n".repeat(3_000)) },
    "events-below-limit": { begin: head, repeat: toChunk(`data: ${"x".repeat(261_000)}\n\n`) },
    "interim-responses": { begin: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500) },
    "large-chunks": { begin: head, repeat: toChunk("x".repeat(16_384)) },
    "single-byte-chunks": { begin: head, repeat: toChunk("x").repeat(2_700) },
    "single-byte-writes": { begin: head, repeat: toChunk("x"), isSplit: true },
    trailers: { begin: `${head}${toChunk("x")}0\r\n`, repeat: "x-filler: x\r\n".repeat(1_000) },
};

const writesPerTurn = 200;

function sendEndlessly(socket: Socket, { begin, isSplit, repeat }: EndlessResponse): void {
    const bytes = Buffer.from(repeat);
    socket.write(begin);
    const sendNext = (): void => {
        for (let count = 1; isSplit === true && count < writesPerTurn && socket.writable; count++) {
            socket.write(bytes);
        }
        if (socket.writable) {
            socket.write(bytes, () => setImmediate(sendNext));
        }
    };
    sendNext();
}

const kind = process.argv[2] as ResponseKind;
const server = createServer({ noDelay: true }, socket => {
    socket.on("error", () => {});
    socket.once("data", () => sendEndlessly(socket, responses[kind]));
});
server.listen(0, "127.0.0.1", () => process.send!(server.address()));
