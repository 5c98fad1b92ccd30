import { createServer, type Socket } from "node:net";
import { closeServer } from "./closeServer.js";

/** Request that a {@link RawRunner} has received; requests have no body. */
export interface RawRequest {
    readonly attemptId: string;
    readonly path: string;
    /** Header fields by lower-case name. */
    readonly headers: ReadonlyMap<string, string>;
    /** Value of `last-event-id`; undefined if the request does not resume a stream. */
    readonly resumeAfter: string | undefined;
    /** Number of the request on its connection, from 1. */
    readonly count: number;
}

/** Runner whose answers are written as raw bytes. */
export interface RawRunner extends AsyncDisposable {
    /** `host:port` */
    readonly address: string;
    readonly requests: readonly RawRequest[];
}

/** Proof that a runner adds to its answers. */
export const proof = "response-seal: 3e1b.07.5a2.600.0.c9f2a4d1";

/**
 * Creates the head of an answer.
 *
 * @param status - status code and reason
 * @param fields - header fields
 * @returns the head, with the empty line that ends it
 */
export function createHead(status: string, ...fields: readonly string[]): string {
    return `HTTP/1.1 ${[status, ...fields].join("\r\n")}\r\n\r\n`;
}

function parseRequest(text: string, count: number): RawRequest {
    const headers = new Map(
        text.split("\r\n").slice(1).map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }),
    );
    return {
        attemptId: headers.get("attempt-id") ?? "",
        path: text.split(" ", 2)[1] ?? "",
        headers,
        resumeAfter: headers.get("last-event-id"),
        count,
    };
}

/**
 * Starts a runner whose answers are written as raw bytes.
 *
 * @param answer - writes the answer to a request
 * @returns the runner; disposing of it closes its connections
 */
export async function startRawRunner(answer: (socket: Socket, request: RawRequest) => void): Promise<RawRunner> {
    const requests: RawRequest[] = [];
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        let received = "";
        let count = 0;
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        // The gateway closes connections on which it receives surplus bytes.
        socket.on("error", () => {});
        socket.on("data", (part: Buffer) => {
            received += part.toString("latin1");
            if (!received.includes("\r\n\r\n")) {
                return;
            }
            count++;
            const request = parseRequest(received, count);
            received = "";
            requests.push(request);
            answer(socket, request);
        });
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { readonly port: number; };
    return {
        address: `127.0.0.1:${port}`,
        requests,
        [Symbol.asyncDispose]: () => closeServer(server, sockets),
    };
}
