import { createServer, type Socket } from "node:net";
import { findFreePorts } from "../../../src/standIn/index.js";
import { closeServer } from "./closeServer.js";

/** Part of a response that an {@link EndlessRunner} continues without end. */
export type EndlessPart =
    | "no-answer"
    | "status-line"
    | "field"
    | "fields"
    | "interim-answers"
    | "body-until-close"
    | "chunks"
    | "chunk-extension"
    | "trailers"
    | "slow-body"
    | "slow-fields"
    | "slow-trailers"
    | "events"
    | "comments"
    | "blank-lines"
    | "single-byte-chunks";

interface EndlessResponse {
    /** Bytes that are sent once, at the beginning. */
    readonly begin: string;
    /** Bytes that are then sent repeatedly. */
    readonly repeat: string;
    /** Time between two writes in milliseconds. Default: each write begins when the one before has finished. */
    readonly pause?: number;
}

/** Runner that responds to each request with bytes that do not end until the gateway closes the connection. */
export interface EndlessRunner extends AsyncDisposable {
    /** `host:port` */
    readonly address: string;
    readonly countRequests: () => number;
    readonly countConnections: () => number;
    /** Number of bytes that were sent on all connections. */
    readonly sentBytes: () => number;
}

const filler = "x".repeat(16_384);
const statusLine = "HTTP/1.1 200 OK\r\n";

function createHead(attemptId: string, ...fields: string[]): string {
    const common = [`attempt-id: ${attemptId}`, "response-seal: 3e1b.07.5a2.600.0.c9f2a4d1"];
    return `${statusLine}${[...common, ...fields].join("\r\n")}\r\n\r\n`;
}

const createChunkedHead = (id: string): string => createHead(id, "transfer-encoding: chunked");
const createEventsHead = (id: string): string =>
    createHead(id, "content-type: text/event-stream", "transfer-encoding: chunked");
const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const manyFields = `x-filler: ${"x".repeat(100)}\r\n`.repeat(100);
const slowWriteMilliseconds = 20;

const responses: Readonly<Record<EndlessPart, (attemptId: string) => EndlessResponse>> = {
    "no-answer": () => ({ begin: "", repeat: filler }),
    "status-line": () => ({ begin: "HTTP/1.1 200 ", repeat: filler }),
    field: () => ({ begin: `${statusLine}x-filler: `, repeat: filler }),
    fields: () => ({ begin: statusLine, repeat: manyFields }),
    "interim-answers": () => ({ begin: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100) }),
    "body-until-close": id => ({ begin: createHead(id), repeat: filler }),
    chunks: id => ({ begin: createChunkedHead(id), repeat: toChunk(filler) }),
    "chunk-extension": id => ({ begin: `${createChunkedHead(id)}1;`, repeat: filler }),
    trailers: id => ({ begin: `${createChunkedHead(id)}${toChunk("whole")}0\r\n`, repeat: manyFields }),
    "slow-body": id => ({ begin: createChunkedHead(id), repeat: toChunk("x"), pause: slowWriteMilliseconds }),
    "slow-fields": () => ({ begin: statusLine, repeat: "x: y\r\n", pause: slowWriteMilliseconds }),
    "slow-trailers": id => ({
        begin: `${createChunkedHead(id)}${toChunk("whole")}0\r\n`,
        repeat: "x: y\r\n",
        pause: slowWriteMilliseconds,
    }),
    events: id => ({ begin: createEventsHead(id), repeat: toChunk("data: x\n\n".repeat(1_000)) }),
    comments: id => ({ begin: createEventsHead(id), repeat: toChunk(": x\n\n".repeat(1_000)) }),
    "blank-lines": id => ({ begin: createEventsHead(id), repeat: toChunk("\n".repeat(16_384)) }),
    "single-byte-chunks": id => ({ begin: createEventsHead(id), repeat: toChunk("x").repeat(8_000) }),
};

/**
 * Starts a runner whose responses do not end.
 *
 * @param part - part of the responses that is continued without end
 * @returns the runner
 */
export async function startEndlessRunner(part: EndlessPart): Promise<EndlessRunner> {
    const sockets = new Set<Socket>();
    let requests = 0;
    let sent = 0;

    function send(socket: Socket, attemptId: string): void {
        const { begin, pause, repeat } = responses[part](attemptId);
        const bytes = Buffer.from(repeat);
        socket.write(begin);
        function sendNext(): void {
            if (socket.writable) {
                sent += bytes.length;
                socket.write(bytes, () => setTimeout(sendNext, pause ?? 0));
            }
        }
        sendNext();
    }

    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        // The gateway resets connections on which a response does not end.
        socket.on("error", () => {});
        socket.on("data", request => {
            const [, attemptId] = /attempt-id: (\S+)/i.exec(request.toString("latin1")) ?? [];
            if (attemptId !== undefined) {
                requests++;
                send(socket, attemptId);
            }
        });
    });
    const [port] = await findFreePorts(1);
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${port}`,
        countRequests: () => requests,
        countConnections: () => sockets.size,
        sentBytes: () => sent,
        [Symbol.asyncDispose]: () => closeServer(server, sockets),
    };
}
