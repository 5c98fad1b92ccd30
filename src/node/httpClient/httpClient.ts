import { err, ok, type Result } from "true-myth/result";
import { type Dispatcher, Pool } from "undici";
import type { Milliseconds } from "../../types/index.js";
import { createSystemClock } from "../../utils/index.js";
import { memoryExceededMessage, partOverheadBytes, ResponseTooLargeError } from "./bodyReader.js";
import { createExchange } from "./exchange.js";
import { createInterruption, type Interruption } from "./interruption.js";
import { watchOverhead } from "./overheadWatch.js";
import { createReadTurns } from "./readTurns.js";
import { describeStatusLine, InvalidStatusError, isUnreadableStatus } from "./responseStatus.js";
import { type SilenceLimit, type SilenceWatch, watchSilence } from "./silenceWatch.js";
import { type CallState, createCallState, createTrackedClient } from "./trackedClient.js";
import type {
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    HttpStreamingResponse,
    HttpTimeouts,
    ReceivedBody,
} from "./types.js";

const defaultTimeouts: HttpTimeouts = { connect: 1_000, head: 5_000, idle: 5_000, total: 10_000 };
const defaultMaximumConnections = 64;
const defaultMaximumBodyBytes = 64 * 1_048_576;

interface Call {
    readonly interruption: Interruption;
    readonly state: CallState;
    readonly silence: SilenceWatch;
    readonly endWatch: () => void;
}

const clock = createSystemClock();
/** Turns that the responses to all clients of this process share. */
const turns = createReadTurns(clock);
const unlimitedSilence: SilenceLimit = { after: Infinity, onSilent: () => {} };

function startCall({ mayWrite, signal, silence = unlimitedSilence }: HttpRequest): Call {
    const interruption = createInterruption(signal);
    const state = createCallState(mayWrite);
    return {
        interruption,
        state,
        silence: watchSilence(silence, clock),
        endWatch: watchOverhead(state, () => interruption.stop()),
    };
}

function endCall({ endWatch, interruption, silence }: Call): void {
    endWatch();
    silence.end();
    interruption.dispose();
}

/**
 * Creates a client that reports for each failed call whether its request was written.
 *
 * @param options - peer and limits
 * @returns the client; disposing of it ends all calls
 */
export function createHttpClient(options: HttpClientOptions): HttpClient {
    const timeouts = { ...defaultTimeouts, ...options.timeouts };
    const url = new URL(options.baseUrl);
    const pool = new Pool(url.origin, {
        connections: options.connections ?? defaultMaximumConnections,
        factory: (origin, clientOptions) => createTrackedClient(origin, clientOptions, timeouts.connect),
    });
    const maximumBodyBytes = options.maximumBodyBytes ?? defaultMaximumBodyBytes;
    const { memoryLimit } = options;
    const pathPrefix = url.pathname.replace(/\/$/, "");

    async function open(request: HttpRequest): Promise<Result<HttpStreamingResponse, HttpFailure>> {
        const limits = { ...timeouts, ...request.timeouts };
        const call = startCall(request);
        call.interruption.setTimeLimit(limits.head);
        let idleWatch: SilenceWatch | undefined;
        const bodyLimit = request.memoryLimit ?? memoryLimit;
        const { handler, opened } = createExchange(request, {
            ...call,
            limits: { maximumUnreadBytes: maximumBodyBytes, memoryLimit: bodyLimit },
            turns,
            onTurnUsed: busy => options.onTurnUsed?.({ peer: url.host, busy }),
            onHead: () => {
                call.interruption.clearTimeLimit();
                call.silence.heard();
                idleWatch = limitIdleTime(call.interruption, limits.idle);
            },
            onPart: () => {
                call.silence.heard();
                idleWatch?.heard();
            },
            onClose: () => {
                idleWatch?.end();
                endCall(call);
            },
            describe: (cause, received) => {
                const failure = describeFailure(cause, call, received);
                return new Error(failure.message, { cause: failure });
            },
        });
        try {
            if (call.interruption.isInterrupted()) {
                throw new Error("aborted before the request was written");
            }
            pool.dispatch(toOptions(request, call), handler);
            const { body, framing, headers, status } = await opened;
            return ok({
                status,
                headers,
                framing,
                memoryLimit: bodyLimit,
                body: body.parts,
                readLongestSilence: () => call.silence.readLongest(),
                discard: () => body.destroy(new Error("the response was discarded")),
            });
        }
        catch (cause) {
            endCall(call);
            return err(describeFailure(cause, call));
        }
    }

    function toOptions(
        request: HttpRequest,
        call: Call,
    ): Dispatcher.DispatchOptions & { readonly opaque: CallState; } {
        return {
            method: request.method,
            path: pathPrefix + request.path,
            headers: { ...request.headers },
            opaque: call.state,
            // Undici ends calls from timers, which run before the event loop reads what arrived during a standstill.
            headersTimeout: 0,
            bodyTimeout: 0,
            ...(request.body === undefined ? {} : { body: request.body }),
        };
    }

    async function send(request: HttpRequest): Promise<Result<HttpResponse, HttpFailure>> {
        const total = request.timeouts?.total ?? timeouts.total;
        const totalLimit = createInterruption(request.signal);
        totalLimit.setTimeLimit(total);
        const opened = await open({ ...request, signal: totalLimit.signal });
        const response = opened.isOk ?
            await (request.receive === undefined ?
                readWholeBody(opened.value, maximumBodyBytes) :
                passOnBody(opened.value, request.receive)) :
            err<HttpResponse, HttpFailure>(opened.error);
        totalLimit.dispose();
        return response.mapErr(failure => totalLimit.timedOut() ? { ...failure, reason: "timeout" } : failure);
    }

    return {
        peer: url.host,
        open,
        send,
        close: () => pool.close(),
        [Symbol.asyncDispose]: () => pool.destroy(),
    };
}

/** Ends a call when no part of its body has arrived for a time; undefined if the time is not limited. */
function limitIdleTime(interruption: Interruption, limit: Milliseconds): SilenceWatch | undefined {
    return limit === Infinity ?
        undefined :
        watchSilence({ after: limit, onSilent: () => interruption.timeOut() }, clock);
}

/**
 * Reads the whole body of a response.
 *
 * @param stream - response whose body has not been read
 * @param maximumBytes - size of the largest body that is read
 * @returns the response; a failure if its body is incomplete or too large
 */
export async function readWholeBody(
    stream: HttpStreamingResponse,
    maximumBytes: number,
): Promise<Result<HttpResponse, HttpFailure>> {
    if (stream.framing === "length" && Number(stream.headers["content-length"]) > maximumBytes) {
        stream.discard();
        return err(describeTooLarge(`the response is larger than ${maximumBytes} bytes`));
    }
    const parts: Uint8Array[] = [];
    let bytes = 0;
    let isEvicted = false;
    const reservation = stream.memoryLimit?.open(() => {
        isEvicted = true;
        stream.discard();
    });
    try {
        for await (const part of stream.body) {
            bytes += part.byteLength;
            reservation?.add(part.byteLength + partOverheadBytes);
            if (bytes > maximumBytes) {
                stream.discard();
                return err(describeTooLarge(`the response is larger than ${maximumBytes} bytes`));
            }
            parts.push(part);
        }
    }
    catch (error) {
        return err(isEvicted ? describeTooLarge(memoryExceededMessage) : (error as Error).cause as HttpFailure);
    }
    finally {
        reservation?.close();
    }
    return ok({ status: stream.status, headers: stream.headers, body: Buffer.concat(parts) });
}

/**
 * Passes the parts of a body on as they arrive.
 *
 * @param stream - response whose body has not been read
 * @param receive - gets each part; returns false to end the response early
 * @returns the response without its body; a failure if it broke off
 */
async function passOnBody(
    stream: HttpStreamingResponse,
    receive: NonNullable<HttpRequest["receive"]>,
): Promise<Result<HttpResponse, HttpFailure>> {
    const { headers, status } = stream;
    try {
        for await (const part of stream.body) {
            if (!receive(part, stream)) {
                break;
            }
        }
    }
    catch (error) {
        const failure = (error as Error).cause as HttpFailure | undefined;
        if (failure === undefined) {
            throw error;
        }
        return err(failure);
    }
    return ok({ status, headers, body: new Uint8Array(0) });
}

function describeTooLarge(message: string): HttpFailure {
    return { reason: "too-large", headReceived: true, requestWritten: true, message };
}

function describeFailure(cause: unknown, call: Call, received?: ReceivedBody): HttpFailure {
    const headReceived = received !== undefined;
    const reason = classifyFailure(cause, call.interruption);
    const message = isUnreadableStatus(cause) ?
        describeStatusLine(call.state.connection?.quoteLastRead() ?? "") :
        cause instanceof Error && cause.message !== "" ?
        cause.message :
        String(cause);
    return { reason, headReceived, requestWritten: headReceived || call.state.written, received, message, cause };
}

function classifyFailure(cause: unknown, interruption: Interruption): HttpFailure["reason"] {
    if (interruption.canceled()) {
        return "canceled";
    }
    if (interruption.stopped() || cause instanceof ResponseTooLargeError) {
        return "too-large";
    }
    if (cause instanceof InvalidStatusError || isUnreadableStatus(cause)) {
        return "invalid-status";
    }
    const code = (cause as { readonly code?: unknown; } | undefined)?.code;
    const timedOut = typeof code === "string" && code.startsWith("UND_ERR_") && code.endsWith("_TIMEOUT");
    return timedOut || interruption.timedOut() ? "timeout" : "connection";
}
