import type { Milliseconds } from "../../types/index.js";

/** What a connection has carried. */
export interface ConnectionState {
    /** Responses that have not been handed over to the operating system completely. */
    owed: number;
    /** True once a response was sent completely. */
    hasAnswered: boolean;
    /** Bytes received when the last response was complete; 0 before the first. */
    receivedAtRest: number;
    /** Monotonic time at which the last response was complete, or at which the connection was accepted. */
    restingSince: Milliseconds;
    /** Monotonic time at which the first bytes of a request were noticed whose head is not complete; undefined if none. */
    headSince: Milliseconds | undefined;
    /** Idle limit that the last response stated; 0 before the first. */
    statedIdleLimit: Milliseconds;
}

/** Limits on connections that owe no response. */
export interface ConnectionLimits {
    /** Time for which a connection may be idle. */
    readonly idle: Milliseconds;
    /** Time for which the head of a request may be incomplete. */
    readonly head: Milliseconds;
    /** True if idle connections that have carried a response are closed. */
    readonly isClosing: boolean;
}

/** Reason for which a server closes a connection that owes no response. */
export type ConnectionCloseReason = "idle" | "head-timeout" | "shutdown";

/** Connection to close, with the time by which it exceeded its limit. */
export interface ConnectionClose {
    readonly reason: ConnectionCloseReason;
    readonly lateness: Milliseconds;
}

/** Time beyond the stated idle limit for which the last response or the next request may be on its way. */
const idleMargin: Milliseconds = 5_000;
/** Time in a shutdown in which the peer may send its next request, which is then answered. */
const lastRequestTime: Milliseconds = 100;

/**
 * Decides whether to close a connection. A longer limit applies to connections that are idle already; a shorter one
 * does not, since the peer relies on what the last response stated.
 *
 * @param state - what the connection has carried
 * @param received - bytes received on the connection
 * @param limits - limits in force
 * @param now - monotonic time
 * @returns the reason, or undefined if the connection stays open
 */
export function decideClose(
    { hasAnswered, headSince, owed, receivedAtRest, restingSince, statedIdleLimit }: ConnectionState,
    received: number,
    { head, idle, isClosing }: ConnectionLimits,
    now: Milliseconds,
): ConnectionClose | undefined {
    if (owed > 0) {
        return undefined;
    }
    if (received !== receivedAtRest) {
        const headLateness = now - (headSince ?? now) - head;
        return headLateness >= 0 ? { reason: "head-timeout", lateness: headLateness } : undefined;
    }
    const idleFor = now - restingSince;
    const lateness = idleFor - Math.max(idle, statedIdleLimit) - idleMargin;
    if (lateness >= 0) {
        return { reason: "idle", lateness };
    }
    return isClosing && hasAnswered && idleFor >= lastRequestTime ? { reason: "shutdown", lateness: 0 } : undefined;
}
