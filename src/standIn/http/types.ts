import type { IncomingHttpHeaders } from "node:http";
import type { Clock, Milliseconds, RandomSource } from "../../types/index.js";

/**
 * Kinds of faults:
 *
 * - `outage`: the connection is closed without a response, the request is not executed;
 * - `reset`: like `outage`, with a TCP reset;
 * - `refuse`: status 503 with `x-executed: no`, the request is not executed;
 * - `slow`: the request is executed after `delayMilliseconds`, even if the connection has been closed in the meantime;
 * - `lose-answer`: the request is executed and the connection is closed without a response;
 * - `truncate`: the request is executed and the connection is closed after half of the body; with `clean` the
 *   response ends after half of the body without a sign of an error;
 * - `corrupt`: one bit of the body is changed;
 * - `duplicate`: the request is executed twice; a read of a list returns each entry twice;
 * - `out-of-order`: the response waits until a later request for the same operation has been answered, at most
 *   `delayMilliseconds`; a read of a list returns its entries in reverse order;
 * - `cross-answer`: the response carries the id of another request;
 * - `slow-stream`: the response pauses for `delayMilliseconds` before each part of the body;
 * - `stall-stream`: half of the body is sent, then nothing more, and the connection stays open.
 */
export type FaultKind =
    | "outage"
    | "reset"
    | "refuse"
    | "slow"
    | "lose-answer"
    | "truncate"
    | "corrupt"
    | "duplicate"
    | "out-of-order"
    | "cross-answer"
    | "slow-stream"
    | "stall-stream";

/** Rule by which a stand-in injects a fault into requests for an operation. */
export interface FaultRule {
    /** Name of the operation, or `*` for every operation except `control`. */
    readonly operation: string;
    readonly kind: FaultKind;
    /** Number of matching requests that are handled normally before the rule applies. Default: 0. */
    readonly skip?: number | undefined;
    /** Number of requests that the rule applies to. Default: no limit. */
    readonly times?: number | undefined;
    /** Probability that the rule applies to a matching request. Default: 1. */
    readonly probability?: number | undefined;
    /** Delay of `slow`, `out-of-order` and `slow-stream`. Default: 200 ms. */
    readonly delayMilliseconds?: Milliseconds | undefined;
    /** Whether `truncate` ends the response without an error. Default: false. */
    readonly clean?: boolean | undefined;
}

/** Request to a stand-in. */
export interface StandInRequest {
    readonly method: string;
    readonly path: string;
    /** Values of the parameters in the path of the route. */
    readonly parameters: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Uint8Array;
    /** Aborted when the connection closes before the response is complete, or the server is disposed of. */
    readonly signal: AbortSignal;
}

/** Response of a stand-in. */
export interface StandInResponse {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>> | undefined;
    readonly body?: Uint8Array | string | AsyncIterable<Uint8Array> | undefined;
}

/** Route of a stand-in's HTTP interface. */
export interface StandInRoute {
    /** Name of the operation in fault rules; several routes may share one. */
    readonly operation: string;
    readonly method: string;
    /** Path in the notation of `find-my-way`. */
    readonly path: string;
    /**
     * Functions that change the response for some kinds of faults: `duplicate` and `out-of-order` of a read of a list.
     * Default: the general effect of the fault.
     */
    readonly transforms?: Partial<Record<FaultKind, (response: StandInResponse) => StandInResponse>> | undefined;
    readonly handle: (request: StandInRequest) => StandInResponse | Promise<StandInResponse>;
}

/** Options of the HTTP server, common to all stand-ins. */
export interface StandInServerOptions {
    /** Default: `127.0.0.1`. */
    readonly host?: string | undefined;
    /** Default: a free port that nothing else uses while the server is suspended. */
    readonly port?: number | undefined;
    /** Default: the system's clocks. */
    readonly clock?: Clock | undefined;
    /** Random source for fault rules with a probability. Default: seeded with 1. */
    readonly random?: RandomSource | undefined;
    /** Initial fault rules. Default: none. */
    readonly faults?: readonly FaultRule[] | undefined;
}

/** Fault rules of a stand-in. */
export interface FaultControl {
    /**
     * Adds a rule; if several rules apply to a request, the one that was added first is used.
     *
     * @param rule - the rule
     */
    add(rule: FaultRule): void;
    /**
     * Removes rules.
     *
     * @param operation - removes only the rules for this operation; default: all rules
     */
    clear(operation?: string): void;
    /** @returns the rules in the order in which they were added */
    list(): readonly FaultRule[];
}

/** Running HTTP server of a stand-in. */
export interface StandInServer extends AsyncDisposable {
    readonly host: string;
    readonly port: number;
    readonly baseUrl: string;
    readonly faults: FaultControl;
    /** Aborted when the server is disposed of. */
    readonly stopped: AbortSignal;
    /** Closes all connections and refuses new ones. */
    suspend(): Promise<void>;
    /** Listens again on the same port, unless the server has been disposed of. */
    resume(): Promise<void>;
}
