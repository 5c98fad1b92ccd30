import type { IncomingMessage, ServerResponse } from "node:http";
import { type HttpStandIn, sendJson, startHttpStandIn } from "./httpStandIn.js";

/** How a runner treats a request. */
export type RunnerBehaviour =
    | "answer"
    | "shed"
    | "error"
    | "reset"
    | "silent"
    | "truncate"
    | "unframed"
    | "unframed-reset"
    | "foreign"
    | "unsealed"
    | "unexplained-503"
    | "endless-refusal"
    | "endless-event"
    | "turn-away";

/** Request that a runner began to work on. */
export interface RunnerRun {
    readonly attemptId: string;
    readonly headers: IncomingMessage["headers"];
    readonly path: string;
    readonly body: string;
    canceled: boolean;
}

/** Stand-in of a runner. */
export interface RunnerStandIn extends HttpStandIn {
    readonly id: string;
    readonly runs: RunnerRun[];
    /** Requests that arrived, including those that did not run. */
    readonly countArrivals: () => number;
    /** Monotonic times of the arrivals. */
    readonly arrivedAt: readonly number[];
    behave(behaviour: RunnerBehaviour): void;
    /** Says in all answers from now on that the runner leaves. */
    leave(): void;
    /** Text of the header `retry-after` of refusals by `turn-away`. */
    setRetryAfter(text: string): void;
}

/** Options of {@link startRunnerStandIn}. */
export interface RunnerStandInOptions {
    readonly id: string;
    /** Events of a stream; undefined for whole answers. */
    readonly events?: number;
    /** Events after which a stream breaks off within the next one. */
    readonly breakAfter?: number;
    readonly eventMilliseconds?: number;
    /** Time that a request takes until its answer begins. Default: none. */
    readonly workMilliseconds?: number;
    /** Port to listen on. Default: a free one. */
    readonly port?: number;
    /** Called for each request that begins to run; the runner ends if it returns true. */
    readonly crashesOn?: (run: RunnerRun) => boolean;
}

const proof = "3e1b.07.5a2.600.0.c9f2a4d1";

/**
 * Starts a runner that speaks the platform's protocol.
 *
 * @param options - identifier and kind of answers
 * @returns the runner
 */
export async function startRunnerStandIn(options: RunnerStandInOptions): Promise<RunnerStandIn> {
    const runs: RunnerRun[] = [];
    let behaviour: RunnerBehaviour = "answer";
    let isLeaving = false;
    let retryAfter = "2";
    const arrivedAt: number[] = [];

    async function answer(request: IncomingMessage, response: ServerResponse, row: RunnerRun): Promise<void> {
        if (options.workMilliseconds !== undefined) {
            await new Promise(resolve => setTimeout(resolve, options.workMilliseconds));
        }
        const head = { "attempt-id": row.attemptId, "response-seal": proof, "runner-load": "1,0,4" };
        if (options.events === undefined) {
            response.writeHead(200, { ...head, "content-type": "text/plain" });
            response.end(`${options.id}:${row.body}`);
            return;
        }
        response.writeHead(200, { ...head, "content-type": "text/event-stream" });
        await stream(request, response, options.events);
    }

    async function stream(request: IncomingMessage, response: ServerResponse, events: number): Promise<void> {
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id <= events; id++) {
            if (options.breakAfter !== undefined && id > options.breakAfter) {
                response.write(`id: ${id}\nda`);
                setTimeout(() => response.destroy(), 5);
                return;
            }
            response.write(`id: ${id}\ndata: ${options.id}\n\n`);
            await new Promise(resolve => setTimeout(resolve, options.eventMilliseconds ?? 1));
        }
        response.end();
    }

    /** Sends an answer that has no length; its end is the end of the connection. */
    function sendUnframed(request: IncomingMessage, response: ServerResponse, body: string, end: () => void): void {
        const head = [
            "HTTP/1.1 200 OK",
            `attempt-id: ${String(request.headers["attempt-id"])}`,
            `response-seal: ${proof}`,
        ];
        response.socket!.write(`${head.join("\r\n")}\r\n\r\n${body}`, end);
    }

    /** Sends bytes that end no event until the peer closes. */
    function sendWithoutEnd(response: ServerResponse): void {
        const part = Buffer.alloc(16_384, "x");
        const timer = setInterval(() => response.write(part), 1);
        response.once("close", () => clearInterval(timer));
    }

    function run(request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): RunnerRun {
        const row: RunnerRun = {
            attemptId: String(request.headers["attempt-id"]),
            headers: request.headers,
            path: url.pathname + url.search,
            body: body.toString(),
            canceled: false,
        };
        runs.push(row);
        response.once("close", () => {
            row.canceled = !response.writableFinished;
        });
        return row;
    }

    const handlers: Readonly<
        Record<RunnerBehaviour, (request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer) => void>
    > = {
        answer: (request, response, url, body) => {
            const row = run(request, response, url, body);
            if (options.crashesOn?.(row) === true) {
                server.crash();
                return;
            }
            void answer(request, response, row);
        },
        shed: (request, response) => {
            response.writeHead(503, { "attempt-id": String(request.headers["attempt-id"]), "not-executed": "1" });
            response.end();
        },
        error: (request, response, url, body) => {
            const { attemptId } = run(request, response, url, body);
            response.writeHead(500, { "attempt-id": attemptId, "response-seal": proof });
            response.end("fault");
        },
        reset: (request, response, url, body) => {
            run(request, response, url, body);
            response.destroy();
        },
        silent: (request, response, url, body) => {
            run(request, response, url, body);
        },
        truncate: (request, response, url, body) => {
            const { attemptId } = run(request, response, url, body);
            response.writeHead(200, { "attempt-id": attemptId, "response-seal": proof, "content-length": 100 });
            response.write("half");
            setTimeout(() => response.destroy(), 5);
        },
        unframed: (request, response, url, body) => {
            run(request, response, url, body);
            sendUnframed(request, response, `${options.id}:${body.toString()}`, () => response.socket!.end());
        },
        "unframed-reset": (request, response, url, body) => {
            run(request, response, url, body);
            sendUnframed(request, response, "half", () => response.socket!.resetAndDestroy());
        },
        foreign: (request, response, url, body) => {
            run(request, response, url, body);
            response.writeHead(200, { "attempt-id": "another-request", "response-seal": proof });
            response.end("another caller's answer");
        },
        unsealed: (request, response, url, body) => {
            const { attemptId } = run(request, response, url, body);
            response.writeHead(200, { "attempt-id": attemptId });
            response.end("no proof");
        },
        "endless-refusal": (request, response) => {
            response.writeHead(503, { "attempt-id": String(request.headers["attempt-id"]), "not-executed": "1" });
            sendWithoutEnd(response);
        },
        "endless-event": (request, response, url, body) => {
            const { attemptId } = run(request, response, url, body);
            response.writeHead(200, {
                "attempt-id": attemptId,
                "response-seal": proof,
                "content-type": "text/event-stream",
            });
            sendWithoutEnd(response);
        },
        "turn-away": (request, response) => {
            const attemptId = String(request.headers["attempt-id"]);
            response.writeHead(503, { "attempt-id": attemptId, "not-executed": "1", "retry-after": retryAfter });
            response.end();
        },
        "unexplained-503": (request, response, url, body) => {
            const { attemptId } = run(request, response, url, body);
            response.writeHead(503, { "attempt-id": attemptId });
            response.end();
        },
    };

    const server = await startHttpStandIn((request, response, url, body) => {
        arrivedAt.push(performance.now());
        if (isLeaving) {
            response.setHeader("server-leaving", "1");
        }
        if (request.headers["expect-instance"] !== options.id) {
            response.setHeader("attempt-id", request.headers["attempt-id"] ?? "");
            response.setHeader("runner-id", options.id);
            sendJson(response, 421, {});
            return;
        }
        handlers[behaviour](request, response, url, body);
    }, options.port);
    return {
        ...server,
        id: options.id,
        runs,
        countArrivals: () => arrivedAt.length,
        arrivedAt,
        behave: next => {
            behaviour = next;
        },
        leave: () => {
            isLeaving = true;
        },
        setRetryAfter: text => {
            retryAfter = text;
        },
        [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
    };
}
