import type { IncomingMessage, ServerResponse } from "node:http";
import type { BackendServerRow } from "../../runtime/gateway/index.js";
import type {
    AccountRow,
    CallerCall,
    HeaderTable,
    Milliseconds,
    RanState,
    RefusalReason,
    RequestRow,
    RouteRow,
    ServiceRow,
} from "../../types/index.js";
import type { HttpStreamingResponse, ReceivedBody } from "../httpClient/index.js";
import type { Holding } from "../memory/index.js";

/** Limit on the time of a request: the timeout of its route, or a shorter one that the caller stated. */
export type TimeLimitKind = "caller-timeout" | "route-timeout";

/** Time within which a request must be answered. */
export interface TimeLimit {
    readonly kind: TimeLimitKind;
    /** Time from the arrival of the request. */
    readonly duration: Milliseconds;
    /** Revision of the configuration that was in force when the request arrived. */
    readonly revision: number;
}

/** Reason why this gateway aborted a request in progress. */
export type AbortReason = TimeLimitKind | "caller-gone" | "memory-limit" | "shutdown";

/** Failure of the attempt after which an answer could not be continued. */
export interface BrokenAttempt extends Pick<AttemptFailure, "detail"> {
    /** Instance of the backend server. */
    readonly peer: string;
    readonly failure: RefusalReason;
}

/** Request of a caller that the configuration allows, with its body. */
export interface GatewayRequest {
    readonly row: RequestRow;
    readonly call: CallerCall;
    readonly route: RouteRow;
    readonly service: ServiceRow;
    readonly account: AccountRow | undefined;
    /** Rank for the queue of the engine, from 0 (first) to 9. Default: not stated to backend servers. */
    readonly engineRank?: number | undefined;
    readonly method: string;
    /** Path with query, as it was received. */
    readonly path: string;
    readonly headers: HeaderTable;
    readonly body: Buffer;
    /** Monotonic time at which the whole request had been read. */
    readonly completeAt: Milliseconds;
    /** Monotonic time by which the first attempt must start. */
    readonly latestStart: Milliseconds;
    /** Monotonic time at which the timeout of the caller or of the route expires, whichever is earlier. */
    readonly endsAt: Milliseconds;
    readonly response: ServerResponse;
    readonly incoming: IncomingMessage;
    /** Memory that the request and its answers take. */
    readonly held: Holding;
    /** Aborted when the caller disconnects or the time limit expires. */
    readonly signal: AbortSignal;
    /** Reads the reason for the abort; undefined while the request is not aborted. */
    readonly readAbortReason: () => AbortReason | undefined;
    /**
     * Breaks off an answer that has begun.
     *
     * @param attempt - last failed attempt; undefined if none has failed
     */
    readonly breakOff: (attempt: BrokenAttempt | undefined) => void;
}

/** When a backend server counts as making no progress on an attempt, which continues in any case. */
export interface ProgressLimits {
    /** Time without a byte, or without a complete event of a stream; `Infinity` for no limit. */
    readonly silentAfter: Milliseconds;
    /** Time after the head at which the pace of the body is checked. */
    readonly paceCheckDelay: Milliseconds;
    /** Called when the time without progress is exceeded, and again each time it is. */
    readonly onSilent: (silence: Milliseconds) => void;
    /** Called if the answer is not expected to be complete in time. */
    readonly onSlow: () => void;
}

/** Answer of a backend server whose head was checked. */
export interface OpenedAnswer extends HttpStreamingResponse {
    readonly server: BackendServerRow;
    readonly limits: ProgressLimits;
}

/** Failed attempt: it brought no usable answer. */
export interface AttemptFailure {
    readonly ran: RanState;
    readonly reason: RefusalReason;
    readonly detail: string;
    /** True if the backend server is at fault, which counts against it in routing. */
    readonly serverAtFault: boolean;
    /** True if the connection broke while the request ran. */
    readonly connectionBroke: boolean;
    /** Received part of the body; undefined if the body was not being read. */
    readonly received?: ReceivedBody | undefined;
    /** Why the request ended, if that ended the attempt. */
    readonly endedBy?: AbortReason | undefined;
    /** Complete answer of the backend server, which is sent to the caller if no other attempt follows. */
    readonly answer?: BufferedAnswer | undefined;
}

/** How the body of an answer ended; `canceled` if this gateway aborted it. */
export type AnswerEnding = "complete" | "broken-off" | "canceled";

/** Complete answer of a backend server. */
export interface BufferedAnswer {
    readonly status: number;
    readonly headers: HeaderTable;
    readonly body: Uint8Array;
}
