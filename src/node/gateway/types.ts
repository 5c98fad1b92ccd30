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
import type { HttpStream, ReceivedBody } from "../httpClient/index.js";

/** Why a request in progress was ended from this side. */
export type AbortReason = "caller-gone" | "route-timeout" | "shutdown";

/** Request of a caller that the configuration allows, with its body. */
export interface GatewayRequest {
    readonly row: RequestRow;
    readonly call: CallerCall;
    readonly route: RouteRow;
    readonly service: ServiceRow;
    readonly account: AccountRow | undefined;
    readonly method: string;
    /** Path with query, as it was received. */
    readonly path: string;
    readonly headers: HeaderTable;
    readonly body: Buffer;
    /** Monotonic time by which the first attempt has to start for the answer to be on time. */
    readonly latestStart: Milliseconds;
    /** Monotonic time at which the caller or the route gives up. */
    readonly endsAt: Milliseconds;
    readonly response: ServerResponse;
    readonly incoming: IncomingMessage;
    /** Ended when the caller is gone or the time is over. */
    readonly signal: AbortSignal;
    /** Reason of the end; undefined while the request goes on. */
    readonly readAbortReason: () => AbortReason | undefined;
}

/** Limits on the body of an answer, beyond the time of its request. */
export interface BodyLimits {
    /** Longest time without a byte, and without a whole event of a stream; `Infinity` if only the request's time ends it. */
    readonly silentAfter: Milliseconds;
    /** Time from the head on after which a whole answer has to be on pace, if its request can go on elsewhere. */
    readonly judgePaceAfter: Milliseconds;
    /** @returns whether the request may go on at another backend server */
    readonly canSwitch: () => boolean;
}

/** Answer of a backend server whose head was checked. */
export interface OpenedAnswer extends HttpStream {
    readonly server: BackendServerRow;
    readonly limits: BodyLimits;
}

/** Attempt that brought no usable answer. */
export interface AttemptFailure {
    readonly ran: RanState;
    readonly reason: RefusalReason;
    readonly detail: string;
    /** True if the backend server is at fault, which counts against it in routing. */
    readonly serverAtFault: boolean;
    /** True if the connection broke while the request ran. */
    readonly connectionBroke: boolean;
    /** Part of the answer's body that has arrived; undefined if its body was not being read. */
    readonly received?: ReceivedBody | undefined;
    /** Whole answer of the backend server that may be passed on if no other attempt is made. */
    readonly answer?: BufferedAnswer | undefined;
}

/** How the body of an answer ended; `canceled` if it was ended from this side. */
export type AnswerEnding = "complete" | "broken-off" | "canceled";

/** Whole answer of a backend server. */
export interface BufferedAnswer {
    readonly status: number;
    readonly headers: HeaderTable;
    readonly body: Uint8Array;
}
