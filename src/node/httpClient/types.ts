import type { Result } from "true-myth/result";
import type { Milliseconds } from "../../types/index.js";
import type { HeldBytes } from "./heldBytes.js";

/** Time limits of HTTP calls. */
export interface HttpTimeouts {
    /** Time to open a connection. Default: 1,000 ms. */
    readonly connect: Milliseconds;
    /** Time from the call to the head, including the time to open a connection; `Infinity` for none. Default: 5,000 ms. */
    readonly head: Milliseconds;
    /** Longest time between two parts of the body; `Infinity` for none. Default: 5,000 ms. */
    readonly idle: Milliseconds;
    /** Time for the whole of an answer that is read into memory. Default: 10,000 ms. */
    readonly total: Milliseconds;
}

/** Options of `createHttpClient`. */
export interface HttpClientOptions {
    /** For example `http://10.0.0.7:8080`. */
    readonly baseUrl: string;
    /** Default: the defaults of each time limit. */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
    /** Largest number of connections; further calls wait for a free one. Default: 64. */
    readonly connections?: number | undefined;
    /** Most bytes of an answer that are kept in memory, read or not yet read. Default: 67,108,864 bytes (64 MiB). */
    readonly maximumBodyBytes?: number | undefined;
    /** Bound that the answers share with those of other clients. Default: none. */
    readonly heldBytes?: HeldBytes | undefined;
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
}

/** How the end of a body is recognized: there is none, or by a length, a last chunk or the end of the connection. */
export type BodyFraming = "none" | "length" | "chunked" | "connection";

/** How far the body of an answer has come. */
export interface ReceivedBody {
    readonly framing: BodyFraming;
    /** Bytes that have arrived, without those of the framing. */
    readonly bytes: number;
}

/** Why a call got no complete answer. */
export interface HttpFailure {
    readonly reason: "canceled" | "timeout" | "connection" | "too-large";
    /** True if the head of the answer arrived and its body did not arrive completely. */
    readonly headReceived: boolean;
    /** False only if no byte of the request was written. */
    readonly requestWritten: boolean;
    /** Part of the body that has arrived; undefined if the body was not being read. */
    readonly received?: ReceivedBody | undefined;
    readonly message: string;
    readonly cause?: unknown;
}

/** Head of an answer. */
export interface HttpHead {
    readonly status: number;
    /** Values by lower-case name. */
    readonly headers: Readonly<Record<string, string>>;
}

/** Answer whose body was read into memory. */
export interface HttpAnswer extends HttpHead {
    readonly body: Uint8Array;
}

/** Answer whose body has not been read. */
export interface HttpStream extends HttpHead {
    readonly framing: BodyFraming;
    /** Bound on the bytes of this and other answers; undefined if there is none. */
    readonly heldBytes: HeldBytes | undefined;
    /**
     * Parts of the body, to be read once. They arrive whether they are read or not. Throws an `Error` whose `cause` is an
     * {@link HttpFailure}.
     */
    readonly body: AsyncIterable<Uint8Array>;
    /** Gives the body up and closes its connection. */
    discard(): void;
}

/** HTTP client of one peer. */
export interface HttpClient extends AsyncDisposable {
    /** `host:port` of the peer. */
    readonly peer: string;
    /**
     * Sends a request and reads the answer into memory.
     *
     * @param request - the request
     * @returns the complete answer, of any status
     */
    send(request: HttpRequest): Promise<Result<HttpAnswer, HttpFailure>>;
    /**
     * Sends a request and returns the answer once its head has arrived.
     *
     * @param request - the request; its signal also ends the body
     * @returns the answer, of any status
     */
    open(request: HttpRequest): Promise<Result<HttpStream, HttpFailure>>;
}
