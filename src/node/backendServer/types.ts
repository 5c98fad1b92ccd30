import type { HttpTimeouts } from "../httpClient/index.js";

/** Options of `createBackendServerClient`. */
export interface BackendServerClientOptions {
    /** Base URL of the model engine or plain service. */
    readonly baseUrl: string;
    /** Kind of backend server; only an engine supports orders and weights. Default: `engine`. */
    readonly kind?: "engine" | "service" | undefined;
    /**
     * Time limits of calls for state, orders and chunks. Default: those of {@link HttpTimeouts}; a longer limit would
     * exceed the order time limit of 5 s.
     */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
    /**
     * Time limits of requests. Default: connect 1,000 ms; head 120,000 ms, since the caller's deadline ends a request
     * through its signal; idle 30,000 ms, after which a stalled response counts as incomplete.
     */
    readonly requestTimeouts?: Partial<Omit<HttpTimeouts, "total">> | undefined;
    /** Maximum number of connections for requests. Default: 256. */
    readonly requestConnections?: number | undefined;
    /** Most unread bytes of all responses together; beyond it, the largest ones are aborted. Default: 128 MiB. */
    readonly maximumHeldBytes?: number | undefined;
    /** Path of a plain service's health endpoint. Default: `/health`. */
    readonly healthPath?: string | undefined;
}
