import type { Milliseconds, Refusal, RefusalReason, RequestRow } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import type { AdmissionTable } from "./types.js";

/** Share of the capacity that is promised to refused callers; the rest is left to new ones. */
const returnShare = 0.5;
/** Part of the wait by which returns are spread, since callers round the time in the same way. */
const spreadShare = 0.25;

/**
 * Creates the refusal of a request that has not started. Each refusal reserves a later return time, at half of the rate
 * at which requests finish, so that refused callers do not return together.
 *
 * @param table - admission table; its next return time is moved
 * @param request - refused request
 * @param reason - why it is refused
 * @param wait - expected time in milliseconds until the process could take it
 * @param now - monotonic time
 * @param notBefore - monotonic time before which no request can be taken. Default: now.
 * @returns the refusal, `ran: "no"`
 */
export function createRefusal(
    table: AdmissionTable,
    request: RequestRow,
    reason: RefusalReason,
    wait: Milliseconds,
    now: Milliseconds,
    notBefore: Milliseconds = now,
): Refusal {
    const { maximumRetryAfterSeconds, retryAfterStepSeconds } = table.options;
    const step = table.averageServiceTime / Math.max(1, table.capacity) / returnShare;
    const latest = Math.max(now, notBefore) + maximumRetryAfterSeconds * 1_000;
    const returnAt = Math.min(latest, Math.max(now + wait, notBefore, table.nextReturnAt + step));
    table.nextReturnAt = returnAt;
    const spread = scoreRendezvous(request.requestId, "return") / 2 ** 32;
    const closedSeconds = Math.max(0, notBefore - now) / 1_000;
    const openSeconds = (returnAt - now) / 1_000 - closedSeconds;
    const duration = openSeconds * (1 + spread * spreadShare) + spread * retryAfterStepSeconds;
    // Callers beyond the largest time are spread over its second half, else they would all return at its end.
    const spreadDuration = duration >= maximumRetryAfterSeconds ?
        maximumRetryAfterSeconds * (1 + spread) / 2 :
        duration;
    const longest = closedSeconds + maximumRetryAfterSeconds;
    const steps = Math.max(1, Math.ceil((closedSeconds + spreadDuration) / retryAfterStepSeconds));
    // Rounded to milliseconds, since products of fractions are not exact.
    const retryAfterSeconds = Math.min(longest, Number((steps * retryAfterStepSeconds).toFixed(3)));
    return { ran: "no", reason, retryAfterSeconds };
}
