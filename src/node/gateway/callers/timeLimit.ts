import type { CallerCall, RouteRow } from "../../../types/index.js";
import type { AbortReason, TimeLimit, TimeLimitKind } from "../types.js";

/**
 * Chooses the time limit of a request: the timeout of its route, unless the caller stated a shorter one.
 *
 * @param call - what the caller stated
 * @param route - route of the request
 * @param revision - revision of the configuration that has the route
 * @returns the limit
 */
export function chooseTimeLimit(
    { callerTimeout = Infinity }: Pick<CallerCall, "callerTimeout">,
    { timeout }: Pick<RouteRow, "timeout">,
    revision: number,
): TimeLimit {
    return callerTimeout < timeout ?
        { kind: "caller-timeout", duration: callerTimeout, revision } :
        { kind: "route-timeout", duration: timeout, revision };
}

/**
 * Tells whether a request was aborted by its time limit.
 *
 * @param reason - reason for the abort; undefined if there was none
 * @returns true if it is a time limit
 */
export function isTimeLimit(reason: AbortReason | undefined): reason is TimeLimitKind {
    return reason === "caller-timeout" || reason === "route-timeout";
}
