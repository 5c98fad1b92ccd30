import { createServer, type Socket } from "node:net";
import type { BodyFraming } from "../../../src/node/httpClient/index.js";
import type { RandomSource } from "../../../src/types/index.js";
import { closeServer } from "./closeServer.js";

/** How a planned answer ends: whole, or with its connection closed or reset after `sentBytes`. */
export type AnswerEnding = "whole" | "closed" | "reset";

/** Answer that a {@link PlannedRunner} is to give. */
export interface AnswerPlan {
    readonly framing: Exclude<BodyFraming, "none">;
    readonly bodyBytes: number;
    readonly ending: AnswerEnding;
    /** Share of the bytes that are sent, unless the answer is whole. */
    readonly sentShare: number;
    /** Number of writes. */
    readonly writes: number;
    /** True if the connection ends in the same turn of the event loop as the last write. */
    readonly endsAtOnce: boolean;
    /** Time after which the same answer is sent once more on the connection; undefined if it is not. */
    readonly repeatAfter: number | undefined;
}

/** Header by which a caller tells a {@link PlannedRunner} what to answer. */
export const planHeader = "x-plan";

const framings = ["length", "chunked", "connection"] as const;
const maximumBodyBytes = 20_000;

/**
 * Draws a plan.
 *
 * @param random - source of randomness
 * @param faults - whether answers may break off or be repeated
 * @returns the plan
 */
export function drawPlan(random: RandomSource, faults: boolean): AnswerPlan {
    const framing = framings[Math.floor(random.next() * framings.length)]!;
    const isWhole = !faults || random.next() < 0.4;
    // A connection that is closed in order ends an answer without a length, however short it is.
    const ending = isWhole ? "whole" : framing === "connection" || random.next() < 0.5 ? "reset" : "closed";
    return {
        framing,
        ending,
        bodyBytes: Math.floor(random.next() ** 3 * maximumBodyBytes),
        sentShare: random.next() < 0.3 ? 1 : random.next(),
        writes: 1 + Math.floor(random.next() * 4),
        endsAtOnce: random.next() < 0.7,
        repeatAfter: faults && random.next() < 0.2 ? Math.floor(random.next() * 60) : undefined,
    };
}

/**
 * Makes the body of an answer.
 *
 * @param requestId - request that is answered
 * @param bytes - length
 * @returns text that differs between requests
 */
export function makeBody(requestId: string, bytes: number): string {
    return `${requestId};`.repeat(Math.ceil(bytes / (requestId.length + 1))).slice(0, bytes);
}

const framers: Readonly<Record<AnswerPlan["framing"], (body: string) => readonly [headers: string[], body: string]>> = {
    length: body => [[`content-length: ${body.length}`], body],
    chunked: body => {
        const half = Math.floor(body.length / 2);
        const chunks = [body.slice(0, half), body.slice(half)].filter(({ length }) => length > 0);
        const framed = chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
        return [["transfer-encoding: chunked"], `${framed.join("")}0\r\n\r\n`];
    },
    connection: body => [[], body],
};

function encode(requestId: string, plan: AnswerPlan): Buffer {
    const [headers, body] = framers[plan.framing](makeBody(requestId, plan.bodyBytes));
    const head = [
        "HTTP/1.1 200 OK",
        `attempt-id: ${requestId}`,
        "response-seal: 3e1b.07.5a2.600.0.c9f2a4d1",
        ...headers,
    ];
    return Buffer.from(`${head.join("\r\n")}\r\n\r\n${body}`);
}

/** Connection of a caller; a repeated answer waits until the answer in progress is written. */
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

async function answer(connection: Connection, requestId: string, plan: AnswerPlan): Promise<void> {
    const { repeats, socket } = connection;
    const whole = encode(requestId, plan);
    const isWhole = plan.ending === "whole";
    // A reset after the last byte still leaves an answer open whose end is the end of its connection.
    const most = plan.framing === "connection" ? whole.length : whole.length - 1;
    const sent = isWhole ? whole : whole.subarray(0, Math.min(most, Math.ceil(whole.length * plan.sentShare)));
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
    if (!plan.endsAtOnce) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    if (plan.ending === "reset") {
        socket.resetAndDestroy();
    }
    else {
        socket.end();
    }
}

/** Runner whose answers their requests prescribe. */
export interface PlannedRunner extends AsyncDisposable {
    /** `host:port` */
    readonly address: string;
}

/**
 * Starts a runner that answers each request as its header `x-plan` says.
 *
 * @returns the runner
 */
export async function startPlannedRunner(): Promise<PlannedRunner> {
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        // Gateways close connections on which surplus bytes arrive.
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
            void answer(connection, headers.get("attempt-id")!, JSON.parse(headers.get(planHeader)!) as AnswerPlan);
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
