import type { IncomingMessage, ServerResponse } from "node:http";
import { type HttpStandIn, sendJson, startHttpStandIn } from "./httpStandIn.js";

/**
 * How a runner handles its requests:
 *
 * - `answer`: executes the request and responds in full;
 * - `shed`: refuses the request as not executed;
 * - `error`: executes the request and responds with status 500;
 * - `reset`: executes the request and closes the connection without a response;
 * - `silent`: executes the request and does not respond;
 * - `truncate`: closes the connection within the body;
 * - `unframed`: responds without a length, and closes the connection at the end of the body;
 * - `unframed-reset`: like `unframed`, but sends a part of the body and resets the connection;
 * - `foreign`: responds with the `attempt-id` of another request;
 * - `unsealed`: responds without the header `response-seal`;
 * - `unexplained-503`: responds with status 503 without saying that the request was not executed;
 * - `endless-refusal`: refuses the request as not executed, with a body that does not end;
 * - `endless-event`: responds with an event stream whose first event does not end;
 * - `turn-away`: refuses the request as not executed, with the header `retry-after`.
 */
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

/** Request that a runner began to execute. */
export interface RunnerRun {
    readonly attemptId: string;
    readonly headers: IncomingMessage["headers"];
    readonly path: string;
    readonly body: string;
    /** Whether the connection was closed before the response was complete. */
    canceled: boolean;
}

/** Stand-in for a runner. */
export interface RunnerStandIn extends HttpStandIn {
    readonly id: string;
    /** Requests that the runner began to execute. */
    readonly runs: RunnerRun[];
    /** Counts the requests that arrived, including refused ones. */
    readonly countArrivals: () => number;
    /** Monotonic times at which requests arrived, in milliseconds. */
    readonly arrivedAt: readonly number[];
    /** Sets how further requests are handled. */
    setBehaviour(behaviour: RunnerBehaviour): void;
    /** Adds the header `server-leaving` to all further responses. */
    leave(): void;
    /** Sets the header `server-limit` of all further responses, several values as repeated headers; undefined for none. */
    setRateLimit(text: string | string[] | undefined): void;
    /** Sets the version of the loaded weights. */
    setVersion(version: number): void;
    /** Sets the header `retry-after` of the responses to requests that are turned away. */
    setRetryAfter(text: string): void;
}

/** Options of {@link startRunnerStandIn}. */
export interface RunnerStandInOptions {
    /** Value of the header `runner-load`. Default: `1,0,4`. */
    readonly load?: string | undefined;
    readonly id: string;
    /** Number of events of a streamed response; undefined for responses that are no stream. */
    readonly events?: number;
    /** Number of events after which the connection is closed within the next event. */
    readonly breakAfter?: number;
    /** Time between two events. Default: 1 ms. */
    readonly eventMilliseconds?: number;
    /** Time until the response to a request begins. Default: none. */
    readonly workMilliseconds?: number;
    /** Port to listen on. Default: a free one. */
    readonly port?: number;
    /** Loopback address to listen on, which tells the agents of several runners apart. Default: 127.0.0.1. */
    readonly host?: string;
    /** Version of the weights that the runner has loaded. Default: none, and `expect-version` is ignored. */
    readonly version?: number;
    /** Called for each request that the runner begins to execute; the runner crashes if it returns true. */
    readonly shouldCrash?: (recordRun: RunnerRun) => boolean;
    /**
     * Called after each event of a stream with its number, and with 1 after the first half of any other body; the runner
     * crashes if it returns true.
     */
    readonly shouldCrashAfter?: (recordRun: RunnerRun, part: number) => boolean;
}

const responseSeal = "3e1b.07.5a2.600.0.c9f2a4d1";

/**
 * Starts a runner that speaks the platform's protocol.
 *
 * @param options - identifier, kind of responses and times
 * @returns the runner
 */
export async function startRunnerStandIn(options: RunnerStandInOptions): Promise<RunnerStandIn> {
    const runs: RunnerRun[] = [];
    let behaviour: RunnerBehaviour = "answer";
    let isLeaving = false;
    let { version } = options;
    let retryAfter = "2";
    let rateLimit: string | string[] | undefined;
    const arrivedAt: number[] = [];

    async function sendResponse(
        request: IncomingMessage,
        response: ServerResponse,
        runnerRun: RunnerRun,
    ): Promise<void> {
        if (options.workMilliseconds !== undefined) {
            await new Promise(resolve => setTimeout(resolve, options.workMilliseconds));
        }
        const head = {
            "attempt-id": runnerRun.attemptId,
            "response-seal": responseSeal,
            "runner-load": options.load ?? "1,0,4",
        };
        if (options.events === undefined) {
            response.writeHead(200, { ...head, "content-type": "text/plain" });
            await sendHalf(response, runnerRun, `${options.id}:`);
            response.end(runnerRun.body);
            return;
        }
        response.writeHead(200, { ...head, "content-type": "text/event-stream" });
        await sendEvents(request, response, runnerRun, options.events);
    }

    async function sendHalf(response: ServerResponse, runnerRun: RunnerRun, half: string): Promise<void> {
        response.write(half);
        if (options.shouldCrashAfter !== undefined) {
            await new Promise(resolve => setTimeout(resolve, options.eventMilliseconds ?? 1));
            if (options.shouldCrashAfter(runnerRun, 1)) {
                server.crash();
            }
        }
    }

    async function sendEvents(
        request: IncomingMessage,
        response: ServerResponse,
        runnerRun: RunnerRun,
        events: number,
    ): Promise<void> {
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id <= events; id++) {
            if (options.breakAfter !== undefined && id > options.breakAfter) {
                response.write(`id: ${id}\nda`);
                setTimeout(() => response.destroy(), 5);
                return;
            }
            response.write(`id: ${id}\ndata: ${options.id}\n\n`);
            await new Promise(resolve => setTimeout(resolve, options.eventMilliseconds ?? 1));
            if (options.shouldCrashAfter?.(runnerRun, id) === true) {
                server.crash();
                return;
            }
        }
        response.end();
    }

    /** Sends a response without a length, which ends when the connection ends. */
    function sendUnframed(request: IncomingMessage, response: ServerResponse, body: string, end: () => void): void {
        const head = [
            "HTTP/1.1 200 OK",
            `attempt-id: ${String(request.headers["attempt-id"])}`,
            `response-seal: ${responseSeal}`,
        ];
        response.socket!.write(`${head.join("\r\n")}\r\n\r\n${body}`, end);
    }

    /** Sends bytes without the end of an event until the connection is closed. */
    function sendEndlessly(response: ServerResponse): void {
        const part = Buffer.alloc(16_384, "x");
        const timer = setInterval(() => response.write(part), 1);
        response.once("close", () => clearInterval(timer));
    }

    function recordRun(request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): RunnerRun {
        const runnerRun: RunnerRun = {
            attemptId: String(request.headers["attempt-id"]),
            headers: request.headers,
            path: url.pathname + url.search,
            body: body.toString(),
            canceled: false,
        };
        runs.push(runnerRun);
        response.once("close", () => {
            runnerRun.canceled = !response.writableFinished;
        });
        return runnerRun;
    }

    const handlers: Readonly<
        Record<RunnerBehaviour, (request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer) => void>
    > = {
        answer: (request, response, url, body) => {
            const runnerRun = recordRun(request, response, url, body);
            if (options.shouldCrash?.(runnerRun) === true) {
                server.crash();
                return;
            }
            void sendResponse(request, response, runnerRun);
        },
        shed: (request, response) => {
            response.writeHead(503, { "attempt-id": String(request.headers["attempt-id"]), "not-executed": "1" });
            response.end();
        },
        error: (request, response, url, body) => {
            const { attemptId } = recordRun(request, response, url, body);
            response.writeHead(500, { "attempt-id": attemptId, "response-seal": responseSeal });
            response.end("fault");
        },
        reset: (request, response, url, body) => {
            recordRun(request, response, url, body);
            response.destroy();
        },
        silent: (request, response, url, body) => {
            recordRun(request, response, url, body);
        },
        truncate: (request, response, url, body) => {
            const { attemptId } = recordRun(request, response, url, body);
            response.writeHead(200, { "attempt-id": attemptId, "response-seal": responseSeal, "content-length": 100 });
            response.write("half");
            setTimeout(() => response.destroy(), 5);
        },
        unframed: (request, response, url, body) => {
            recordRun(request, response, url, body);
            sendUnframed(request, response, `${options.id}:${body.toString()}`, () => response.socket!.end());
        },
        "unframed-reset": (request, response, url, body) => {
            recordRun(request, response, url, body);
            sendUnframed(request, response, "half", () => response.socket!.resetAndDestroy());
        },
        foreign: (request, response, url, body) => {
            recordRun(request, response, url, body);
            response.writeHead(200, { "attempt-id": "another-request", "response-seal": responseSeal });
            response.end("another caller's answer");
        },
        unsealed: (request, response, url, body) => {
            const { attemptId } = recordRun(request, response, url, body);
            response.writeHead(200, { "attempt-id": attemptId });
            response.end("no proof");
        },
        "endless-refusal": (request, response) => {
            response.writeHead(503, { "attempt-id": String(request.headers["attempt-id"]), "not-executed": "1" });
            sendEndlessly(response);
        },
        "endless-event": (request, response, url, body) => {
            const { attemptId } = recordRun(request, response, url, body);
            response.writeHead(200, {
                "attempt-id": attemptId,
                "response-seal": responseSeal,
                "content-type": "text/event-stream",
            });
            sendEndlessly(response);
        },
        "turn-away": (request, response) => {
            const attemptId = String(request.headers["attempt-id"]);
            response.writeHead(503, { "attempt-id": attemptId, "not-executed": "1", "retry-after": retryAfter });
            response.end();
        },
        "unexplained-503": (request, response, url, body) => {
            const { attemptId } = recordRun(request, response, url, body);
            response.writeHead(503, { "attempt-id": attemptId });
            response.end();
        },
    };

    const server = await startHttpStandIn(
        (request, response, url, body) => {
            arrivedAt.push(performance.now());
            if (isLeaving) {
                response.setHeader("server-leaving", "1");
            }
            if (rateLimit !== undefined) {
                response.setHeader("server-limit", rateLimit);
            }
            const expected = request.headers["expect-version"];
            const isOtherVersion = version !== undefined && expected !== undefined && Number(expected) !== version;
            if (request.headers["expect-instance"] !== options.id || isOtherVersion) {
                response.setHeader("attempt-id", request.headers["attempt-id"] ?? "");
                response.setHeader("runner-id", options.id);
                sendJson(response, 421, {});
                return;
            }
            handlers[behaviour](request, response, url, body);
        },
        options.port,
        options.host,
    );
    return {
        ...server,
        id: options.id,
        runs,
        countArrivals: () => arrivedAt.length,
        arrivedAt,
        setBehaviour: next => {
            behaviour = next;
        },
        leave: () => {
            isLeaving = true;
        },
        setRateLimit: text => {
            rateLimit = text;
        },
        setVersion: next => {
            version = next;
        },
        setRetryAfter: text => {
            retryAfter = text;
        },
        [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
    };
}
