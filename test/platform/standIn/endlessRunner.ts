import { createServer, type Socket } from "node:net";
import { findFreePorts } from "../../../src/standIn/index.js";
import { closeServer } from "./closeServer.js";

/** Where the bytes that an {@link EndlessRunner} sends go on without end. */
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
    | "comments";

interface EndlessAnswer {
    /** Bytes before those that repeat. */
    readonly begin: string;
    readonly repeat: string;
    /** Time between two writes in milliseconds. Default: as fast as they are taken. */
    readonly pause?: number;
}

/** Runner that answers each request with bytes that do not end until the caller closes the connection. */
export interface EndlessRunner extends AsyncDisposable {
    /** `host:port` */
    readonly address: string;
    readonly countRequests: () => number;
    readonly countConnections: () => number;
    /** Bytes that were sent on all connections. */
    readonly sentBytes: () => number;
}

const filler = "x".repeat(16_384);
const statusLine = "HTTP/1.1 200 OK\r\n";

function head(attemptId: string, ...fields: string[]): string {
    const common = [`attempt-id: ${attemptId}`, "response-seal: 3e1b.07.5a2.600.0.c9f2a4d1"];
    return `${statusLine}${[...common, ...fields].join("\r\n")}\r\n\r\n`;
}

const chunkedHead = (id: string): string => head(id, "transfer-encoding: chunked");
const eventsHead = (id: string): string => head(id, "content-type: text/event-stream", "transfer-encoding: chunked");
const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const manyFields = `x-filler: ${"x".repeat(100)}\r\n`.repeat(100);
const slow = 20;

const answers: Readonly<Record<EndlessPart, (attemptId: string) => EndlessAnswer>> = {
    "no-answer": () => ({ begin: "", repeat: filler }),
    "status-line": () => ({ begin: "HTTP/1.1 200 ", repeat: filler }),
    field: () => ({ begin: `${statusLine}x-filler: `, repeat: filler }),
    fields: () => ({ begin: statusLine, repeat: manyFields }),
    "interim-answers": () => ({ begin: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100) }),
    "body-until-close": id => ({ begin: head(id), repeat: filler }),
    chunks: id => ({ begin: chunkedHead(id), repeat: toChunk(filler) }),
    "chunk-extension": id => ({ begin: `${chunkedHead(id)}1;`, repeat: filler }),
    trailers: id => ({ begin: `${chunkedHead(id)}${toChunk("whole")}0\r\n`, repeat: manyFields }),
    "slow-body": id => ({ begin: chunkedHead(id), repeat: toChunk("x"), pause: slow }),
    "slow-fields": () => ({ begin: statusLine, repeat: "x: y\r\n", pause: slow }),
    "slow-trailers": id => ({ begin: `${chunkedHead(id)}${toChunk("whole")}0\r\n`, repeat: "x: y\r\n", pause: slow }),
    events: id => ({ begin: eventsHead(id), repeat: toChunk("data: x\n\n".repeat(1_000)) }),
    comments: id => ({ begin: eventsHead(id), repeat: toChunk(": x\n\n".repeat(1_000)) }),
};

/**
 * Starts a runner whose answers do not end.
 *
 * @param part - part of the answers that goes on
 * @returns the runner
 */
export async function startEndlessRunner(part: EndlessPart): Promise<EndlessRunner> {
    const sockets = new Set<Socket>();
    let requests = 0;
    let sent = 0;

    function send(socket: Socket, attemptId: string): void {
        const { begin, pause, repeat } = answers[part](attemptId);
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
        // Gateways reset connections on which an answer does not end.
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
