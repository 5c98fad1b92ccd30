import type { HttpTimeouts } from "../httpClient/index.js";

/** Options of `createBackendServerClient`. */
export interface BackendServerClientOptions {
    /** Base URL of the model engine or plain service. */
    readonly baseUrl: string;
    /** Whether orders and weights are supported. Default: `engine`. */
    readonly kind?: "engine" | "service" | undefined;
    /**
     * Time limits of state, orders and chunks. Default: those of {@link HttpTimeouts}; a longer time for orders would
     * exceed the order time limit of 5 s.
     */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
    /**
     * Time limits of requests. Default: connect 1,000 ms; head 120,000 ms, since the caller's deadline ends a request
     * through its signal; idle 30,000 ms, after which a stalled answer counts as broken.
     */
    readonly requestTimeouts?: Partial<Omit<HttpTimeouts, "total">> | undefined;
    /** Largest number of connections for requests. Default: 256. */
    readonly requestConnections?: number | undefined;
    /** Path that a plain service's state is read from. Default: `/health`. */
    readonly healthPath?: string | undefined;
}
