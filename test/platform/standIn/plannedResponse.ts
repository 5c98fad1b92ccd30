import { createServer, type Socket } from "node:net";
import type { BodyFraming } from "../../../src/node/httpClient/index.js";
import type { RandomSource } from "../../../src/types/index.js";
import { closeServer } from "./closeServer.js";

/** How a planned response ends: whole, or with its connection closed or reset after a part of its bytes. */
export type ResponseEnding = "whole" | "closed" | "reset";

/** Response that a {@link PlannedRunner} is to send. */
export interface ResponsePlan {
    readonly framing: Exclude<BodyFraming, "none">;
    readonly bodyBytes: number;
    readonly ending: ResponseEnding;
    /** Share of the bytes that are sent, unless the response is whole. */
    readonly sentShare: number;
    /** Number of writes in which the response is sent. */
    readonly writes: number;
    /** Whether the connection ends right after the last write; otherwise it ends 5 ms later. */
    readonly endsImmediately: boolean;
    /** Time in milliseconds after which the same response is sent again on the connection; undefined for never. */
    readonly repeatAfter: number | undefined;
}

/** Header with the {@link ResponsePlan} for a request, as JSON. */
export const planHeader = "x-plan";

const framings = ["length", "chunked", "connection"] as const;
const maximumBodyBytes = 20_000;

/**
 * Creates a random plan.
 *
 * @param random - source of randomness
 * @param faults - whether responses may be incomplete or be sent again
 * @returns the plan
 */
export function drawPlan(random: RandomSource, faults: boolean): ResponsePlan {
    const framing = framings[Math.floor(random.next() * framings.length)]!;
    const isWhole = !faults || random.next() < 0.4;
    // Closing the connection completes a response without a length, so only a reset can make it incomplete.
    const ending = isWhole ? "whole" : framing === "connection" || random.next() < 0.5 ? "reset" : "closed";
    return {
        framing,
        ending,
        bodyBytes: Math.floor(random.next() ** 3 * maximumBodyBytes),
        sentShare: random.next() < 0.3 ? 1 : random.next(),
        writes: 1 + Math.floor(random.next() * 4),
        endsImmediately: random.next() < 0.7,
        repeatAfter: faults && random.next() < 0.2 ? Math.floor(random.next() * 60) : undefined,
    };
}

/**
 * Creates the body of a response.
 *
 * @param requestId - identifier of the request
 * @param bytes - length of the body
 * @returns text that differs between requests
 */
export function makeBody(requestId: string, bytes: number): string {
    return `${requestId};`.repeat(Math.ceil(bytes / (requestId.length + 1))).slice(0, bytes);
}

const frameBody: Readonly<
    Record<ResponsePlan["framing"], (body: string) => readonly [headers: string[], body: string]>
> = {
    length: body => [[`content-length: ${body.length}`], body],
    chunked: body => {
        const half = Math.floor(body.length / 2);
        const chunks = [body.slice(0, half), body.slice(half)].filter(({ length }) => length > 0);
        const framed = chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
        return [["transfer-encoding: chunked"], `${framed.join("")}0\r\n\r\n`];
    },
    connection: body => [[], body],
};

function encode(requestId: string, plan: ResponsePlan): Buffer {
    const [headers, body] = frameBody[plan.framing](makeBody(requestId, plan.bodyBytes));
    const head = [
        "HTTP/1.1 200 OK",
        `attempt-id: ${requestId}`,
        "response-seal: 3e1b.07.5a2.600.0.c9f2a4d1",
        ...headers,
    ];
    return Buffer.from(`${head.join("\r\n")}\r\n\r\n${body}`);
}

/** Connection from the gateway; a repeated response waits until the response in progress has been written. */
interface Connection {
    readonly socket: Socket;
    isWriting: boolean;
    readonly repeats: Buffer[];
}

function repeat({ isWriting, repeats, socket }: Connection, bytes: Buffer): void {
    if (isWriting) {
        repeats.push(bytes);
    }
    else if (socket.writable) {
        socket.write(bytes);
    }
}

async function write(socket: Socket, bytes: Buffer, writes: number): Promise<void> {
    const step = Math.ceil(bytes.length / writes);
    for (let from = 0; from < bytes.length; from += step) {
        socket.write(bytes.subarray(from, from + step));
        if (from + step < bytes.length) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }
}

async function sendResponse(connection: Connection, requestId: string, plan: ResponsePlan): Promise<void> {
    const { repeats, socket } = connection;
    const whole = encode(requestId, plan);
    const isWhole = plan.ending === "whole";
    // Without a length, a response is incomplete even if the connection is reset after its last byte.
    const maximumBytes = plan.framing === "connection" ? whole.length : whole.length - 1;
    const sent = isWhole ? whole : whole.subarray(0, Math.min(maximumBytes, Math.ceil(whole.length * plan.sentShare)));
    connection.isWriting = true;
    await write(socket, sent, plan.writes);
    if (isWhole && plan.framing !== "connection") {
        connection.isWriting = false;
        repeats.splice(0).forEach(bytes => repeat(connection, bytes));
        if (plan.repeatAfter !== undefined) {
            setTimeout(() => repeat(connection, whole), plan.repeatAfter);
        }
        return;
    }
    if (!plan.endsImmediately) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    if (plan.ending === "reset") {
        socket.resetAndDestroy();
    }
    else {
        socket.end();
    }
}

/** Runner that sends the responses that its requests specify. */
export interface PlannedRunner extends AsyncDisposable {
    /** `host:port` */
    readonly address: string;
}

/**
 * Starts a runner that responds to each request as the plan in its header `x-plan` specifies.
 *
 * @returns the runner
 */
export async function startPlannedRunner(): Promise<PlannedRunner> {
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        // The gateway closes connections on which it receives surplus bytes.
        socket.on("error", () => {});
        const connection: Connection = { socket, isWriting: false, repeats: [] };
        let received = "";
        socket.on("data", part => {
            received += part.toString("latin1");
            if (!received.endsWith("\r\n\r\n")) {
                return;
            }
            const headers = new Map(
                received.split("\r\n").slice(1).map(line => {
                    const colon = line.indexOf(":");
                    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
                }),
            );
            received = "";
            void sendResponse(
                connection,
                headers.get("attempt-id")!,
                JSON.parse(headers.get(planHeader)!) as ResponsePlan,
            );
        });
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { readonly port: number; };
    return {
        address: `127.0.0.1:${port}`,
        [Symbol.asyncDispose]: () => closeServer(server, sockets),
    };
}
