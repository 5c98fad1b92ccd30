import { err, ok, type Result } from "true-myth/result";
import { buildConnector, type Dispatcher, Pool } from "undici";
import type { Milliseconds } from "../../types/index.js";
import { createInterruption, type Interruption } from "./interruption.js";
import { createWrittenMark, reportWrittenRequests, type WrittenMark } from "./requestWritten.js";
import type {
    HttpAnswer,
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpRequest,
    HttpStream,
    HttpTimeouts,
} from "./types.js";

const defaultTimeouts: HttpTimeouts = { connect: 1_000, head: 5_000, idle: 5_000, total: 10_000 };
const defaultConnections = 64;
const defaultMaximumBodyBytes = 64 * 1_048_576;

/** Statuses whose answers have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

interface Call {
    readonly interruption: Interruption;
    readonly mark: WrittenMark;
}

/** Ends of a client's connections, counted so that an answer can tell what happened while it was received. */
interface ConnectionFaults {
    /** Connections that failed. */
    count: number;
    /** Connections that their peer closed in order. */
    orderlyEnds: number;
}

/** Counts the failures of connections; the listener is called before those of undici. */
function createCountingConnector(timeout: Milliseconds, faults: ConnectionFaults): buildConnector.connector {
    const connect = buildConnector({ timeout });
    return (options, callback) => {
        connect(options, (...parameters) => {
            parameters[1]?.once("end", () => {
                faults.orderlyEnds++;
            });
            parameters[1]?.once("error", (error: NodeJS.ErrnoException) => {
                // Undici ends its connections with errors of its own, also after an orderly close.
                faults.count += error.code?.startsWith("UND_ERR_") === true ? 0 : 1;
            });
            callback(...parameters);
        });
    };
}

/**
 * Creates a client that knows of each failed call whether its request was written.
 *
 * @param options - peer and limits
 * @returns the client; disposing of it ends all calls
 */
export function createHttpClient(options: HttpClientOptions): HttpClient {
    const timeouts = { ...defaultTimeouts, ...options.timeouts };
    const url = new URL(options.baseUrl);
    const faults: ConnectionFaults = { count: 0, orderlyEnds: 0 };
    const pool = new Pool(url.origin, {
        connections: options.connections ?? defaultConnections,
        connect: createCountingConnector(timeouts.connect, faults),
    });
    const dispatcher = pool.compose(reportWrittenRequests);
    const maximumBodyBytes = options.maximumBodyBytes ?? defaultMaximumBodyBytes;
    const pathPrefix = url.pathname.replace(/\/$/, "");

    async function open(request: HttpRequest): Promise<Result<HttpStream, HttpFailure>> {
        const limits = { ...timeouts, ...request.timeouts };
        const call: Call = { interruption: createInterruption(request.signal), mark: createWrittenMark() };
        call.interruption.limit(limits.head);
        try {
            const answer = await awaitHead(dispatcher.request(toOptions(request, call, limits.idle)), call);
            call.interruption.unlimit();
            return ok(toStream(answer, call, faults));
        }
        catch (cause) {
            call.interruption.dispose();
            return err(describeFailure(cause, call, false));
        }
    }

    function toOptions(request: HttpRequest, call: Call, idle: Milliseconds): Dispatcher.RequestOptions<WrittenMark> {
        return {
            method: request.method,
            path: pathPrefix + request.path,
            headers: { ...request.headers },
            signal: call.interruption.signal,
            opaque: call.mark,
            headersTimeout: 0,
            bodyTimeout: idle,
            ...(request.body === undefined ? {} : { body: request.body }),
        };
    }

    async function send(request: HttpRequest): Promise<Result<HttpAnswer, HttpFailure>> {
        const total = request.timeouts?.total ?? timeouts.total;
        const limit = createInterruption(request.signal);
        limit.limit(total);
        const opened = await open({ ...request, signal: limit.signal });
        const answer = opened.isOk ?
            await readWholeBody(opened.value, maximumBodyBytes) :
            err<HttpAnswer, HttpFailure>(opened.error);
        limit.dispose();
        return answer.mapErr(failure => limit.timedOut() ? { ...failure, reason: "timeout" } : failure);
    }

    return {
        peer: url.host,
        open,
        send,
        [Symbol.asyncDispose]: () => pool.destroy(),
    };
}

/** A call that is interrupted while it waits for a connection ends at once; undici then never writes it. */
async function awaitHead(
    pending: Promise<Dispatcher.ResponseData<WrittenMark>>,
    call: Call,
): Promise<Dispatcher.ResponseData<WrittenMark>> {
    const { signal } = call.interruption;
    return new Promise((resolve, reject) => {
        pending.then(resolve, reject);
        signal.addEventListener("abort", () => {
            if (!call.mark.written) {
                reject(new Error("interrupted before the request was written"));
            }
        });
    });
}

function toStream(
    answer: Dispatcher.ResponseData<WrittenMark>,
    call: Call,
    faults: ConnectionFaults,
): HttpStream {
    const { body } = answer;
    const headers = flattenHeaders(answer.headers);
    // Undici takes a reset for the end of such an answer.
    const faultsAllowed = endsWithConnection(headers) ? faults.count : Infinity;
    const isFramed = bodilessStatuses.has(answer.statusCode) || headers["content-length"] !== undefined ||
        isChunked(headers);
    const endsBefore = isFramed ? -1 : faults.orderlyEnds;
    // Without a listener, an error that arrives before the body is read would end the process.
    body.on("error", () => {});
    body.once("close", () => call.interruption.dispose());
    return {
        status: answer.statusCode,
        headers,
        body: readParts(body, call, () => faults.count > faultsAllowed || faults.orderlyEnds <= endsBefore),
        discard: () => {
            body.destroy();
        },
    };
}

function isChunked(headers: Readonly<Record<string, string>>): boolean {
    return headers["transfer-encoding"]?.toLowerCase().includes("chunked") === true;
}

function endsWithConnection(headers: Readonly<Record<string, string>>): boolean {
    const isLast = headers["connection"]?.toLowerCase().includes("close") === true;
    return headers["content-length"] === undefined && (!isChunked(headers) || isLast);
}

async function* readParts(
    body: AsyncIterable<Uint8Array>,
    call: Call,
    wasBrokenOff: () => boolean,
): AsyncGenerator<Uint8Array> {
    try {
        for await (const part of body) {
            yield part;
        }
        if (wasBrokenOff()) {
            throw new Error("the connection failed before the answer was known to be complete");
        }
    }
    catch (cause) {
        const failure = describeFailure(cause, call, true);
        throw new Error(failure.message, { cause: failure });
    }
}

/**
 * Reads the whole body of an answer.
 *
 * @param stream - answer whose body has not been read
 * @param maximumBytes - largest body that is kept in memory
 * @returns the answer; a failure if its body broke off or is too large
 */
export async function readWholeBody(
    stream: HttpStream,
    maximumBytes: number,
): Promise<Result<HttpAnswer, HttpFailure>> {
    const parts: Uint8Array[] = [];
    let bytes = 0;
    try {
        for await (const part of stream.body) {
            bytes += part.byteLength;
            if (bytes > maximumBytes) {
                stream.discard();
                return err(describeTooLarge(maximumBytes));
            }
            parts.push(part);
        }
    }
    catch (error) {
        return err((error as Error).cause as HttpFailure);
    }
    return ok({ status: stream.status, headers: stream.headers, body: Buffer.concat(parts) });
}

function describeTooLarge(maximumBytes: number): HttpFailure {
    const message = `the answer is larger than ${maximumBytes} bytes`;
    return { reason: "too-large", headReceived: true, requestWritten: true, message };
}

function describeFailure(cause: unknown, call: Call, headReceived: boolean): HttpFailure {
    const reason = readReason(cause, call.interruption);
    const message = cause instanceof Error && cause.message !== "" ? cause.message : String(cause);
    return { reason, headReceived, requestWritten: headReceived || call.mark.written, message, cause };
}

function readReason(cause: unknown, interruption: Interruption): HttpFailure["reason"] {
    if (interruption.canceled()) {
        return "canceled";
    }
    const code = (cause as { readonly code?: unknown; } | undefined)?.code;
    const timedOut = typeof code === "string" && code.startsWith("UND_ERR_") && code.endsWith("_TIMEOUT");
    return timedOut || interruption.timedOut() ? "timeout" : "connection";
}

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            flat[name.toLowerCase()] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}
