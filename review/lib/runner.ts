import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { record } from "./case.js";

/** Request that a runner began to work on. */
export interface Run {
    readonly attemptId: string;
    readonly method: string;
    readonly path: string;
    readonly body: Buffer;
    readonly headers: IncomingMessage["headers"];
}

/** Answers a request that runs. */
export type Work = (run: Run, response: ServerResponse) => void | Promise<void>;

/** Sound runner of a plain service. */
export interface Runner {
    readonly address: string;
    readonly runs: Run[];
    /** Closes the listener and all channels. */
    end(): void;
}

/** Proof of an answer. */
export const seal = "3e1b.07.5a2.600.0.c9f2a4d1";

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) {
        parts.push(part);
    }
    return Buffer.concat(parts);
}

/** Headers of each answer of a runner to a request. */
export function answerHeaders(attemptId: string): Record<string, string> {
    return { "attempt-id": attemptId, "response-seal": seal, "runner-load": "1,0,6" };
}

/** Starts a runner that answers requests for its own instance with `work`, and others with 421. */
export async function startRunner(id: string, work: Work, port = 0): Promise<Runner> {
    const runs: Run[] = [];
    const sockets = new Set<Socket>();
    const server: Server = createServer((request, response) => {
        void (async () => {
            const attemptId = String(request.headers["attempt-id"]);
            const body = await readBody(request);
            if (request.url === "/health") {
                response.writeHead(200, { "runner-id": id, "runner-load": "0,0,6" }).end();
                return;
            }
            if (request.headers["expect-instance"] !== id) {
                response.writeHead(421, { "attempt-id": attemptId, "runner-id": id }).end();
                return;
            }
            const run: Run = {
                attemptId,
                method: request.method ?? "",
                path: request.url ?? "",
                body,
                headers: request.headers,
            };
            runs.push(run);
            record(`${id} runs ${attemptId}`);
            await work(run, response);
        })().catch(() => response.destroy());
    });
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        runs,
        end: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
