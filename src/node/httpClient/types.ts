import type { Result } from "true-myth/result";
import type { Milliseconds } from "../../types/index.js";
import type { ResponseMemoryLimit } from "./responseMemoryLimit.js";
import type { SilenceLimit } from "./silenceWatch.js";

/** Time limits of HTTP calls. */
export interface HttpTimeouts {
    /** Time to open a connection. Default: 1,000 ms. */
    readonly connect: Milliseconds;
    /**
     * Time from the call to the head, including the time to open a connection; `Infinity` for none. Default: 5,000 ms.
     */
    readonly head: Milliseconds;
    /** Longest time between two parts of the body; `Infinity` for none. Default: 5,000 ms. */
    readonly idle: Milliseconds;
    /** Time from the call to the end of a response that is read into memory. Default: 10,000 ms. */
    readonly total: Milliseconds;
}

/** Options of `createHttpClient`. */
export interface HttpClientOptions {
    /** For example `http://10.0.0.7:8080`. */
    readonly baseUrl: string;
    /** Default: the defaults of each time limit. */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
    /** Maximum number of connections; further calls wait for a free one. Default: 64. */
    readonly connections?: number | undefined;
    /** Most bytes of one response that are buffered, unread or as a whole body. Default: 67,108,864 bytes (64 MiB). */
    readonly maximumBodyBytes?: number | undefined;
    /** Memory limit that the responses share with those of other clients. Default: none. */
    readonly memoryLimit?: ResponseMemoryLimit | undefined;
    /** Called when a response had to wait, since it has used up its turn of the event loop. Default: nothing is done. */
    readonly onTurnUsed?: ((used: UsedTurn) => void) | undefined;
}

/** Turn of the event loop that a response has used up. */
export interface UsedTurn {
    /** `host:port` */
    readonly peer: string;
    /** Time for which its bytes were parsed. */
    readonly busy: Milliseconds;
}

/** HTTP request. */
export interface HttpRequest {
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>> | undefined;
    readonly body?: Uint8Array | string | undefined;
    readonly signal?: AbortSignal | undefined;
    /** Time limits that differ from those of the client. */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
    /** When the peer counts as silent, from the call to the end of the body. Default: never. */
    readonly silence?: SilenceLimit | undefined;
    /**
     * Called once a connection is open, right before the request is written to it; the call fails without being written
     * if the result is false. Default: it is written.
     */
    readonly mayWrite?: (() => boolean) | undefined;
    /**
     * Receives the parts of the body, which are then not kept; the response ends early if the result is false. Only for
     * `send`. Default: the body is read into memory.
     */
    readonly receive?: ((part: Uint8Array, head: HttpHead) => boolean) | undefined;
    /** Memory limit for the response. Default: that of the client. */
    readonly memoryLimit?: ResponseMemoryLimit | undefined;
}

/** How the end of a body is recognized: there is none, or by a length, a last chunk or the end of the connection. */
export type BodyFraming = "none" | "length" | "chunked" | "connection";

/** Part of a response body that has arrived. */
export interface ReceivedBody {
    readonly framing: BodyFraming;
    /** Bytes that have arrived, without those of the framing. */
    readonly bytes: number;
}

/** Why a call got no complete response. */
export interface HttpFailure {
    readonly reason: "canceled" | "timeout" | "connection" | "invalid-status" | "too-large";
    /** True if the head of the response arrived, but not its complete body. */
    readonly headReceived: boolean;
    /** False only if no byte of the request was written. */
    readonly requestWritten: boolean;
    /** Part of the body that has arrived; undefined if the body was not being read. */
    readonly received?: ReceivedBody | undefined;
    readonly message: string;
    readonly cause?: unknown;
}

/** Status and headers of a response. */
export interface HttpHead {
    readonly status: number;
    /** Values by lower-case name. */
    readonly headers: Readonly<Record<string, string>>;
}

/** Response whose body was read into memory. */
export interface HttpResponse extends HttpHead {
    readonly body: Uint8Array;
}

/** Response whose body has not been read. */
export interface HttpStreamingResponse extends HttpHead {
    readonly framing: BodyFraming;
    /** Memory limit that this response shares with others; undefined if there is none. */
    readonly memoryLimit: ResponseMemoryLimit | undefined;
    /**
     * Parts of the body, to be iterated once. They are received even if they are not read. Throws an `Error` whose
     * `cause` is an {@link HttpFailure}.
     */
    readonly body: AsyncIterable<Uint8Array>;
    /** Reads the longest time without a byte so far, from the start of the call to the last byte. */
    readonly readLongestSilence: () => Milliseconds;
    /** Aborts the body and closes its connection. */
    discard(): void;
}

/** HTTP client of one peer. */
export interface HttpClient extends AsyncDisposable {
    /** `host:port` of the peer. */
    readonly peer: string;
    /**
     * Sends a request and reads the response into memory.
     *
     * @param request - the request
     * @returns the complete response, whatever its status
     */
    send(request: HttpRequest): Promise<Result<HttpResponse, HttpFailure>>;
    /**
     * Sends a request and returns the response once its head has arrived.
     *
     * @param request - the request; its signal also ends the body
     * @returns the response, whatever its status
     */
    open(request: HttpRequest): Promise<Result<HttpStreamingResponse, HttpFailure>>;
    /**
     * Closes the connections as the calls in progress end, including those that wait for a connection. Further calls
     * fail.
     *
     * @returns resolves once all calls have ended
     */
    close(): Promise<void>;
}
