import type { Milliseconds, Refusal, RefusalReason, RequestRow } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { planReturn } from "./plannedReturns.js";
import type { AdmissionTable } from "./types.js";

/** Share of the throughput that is planned for the retries of refused callers; the rest is left for new requests. */
const retryThroughputShare = 0.5;
/**
 * Largest extension of the retry-after time, as a share of it; a hash of the request decides how much of it is added.
 * Without it, callers whose times are rounded to the same step would retry together.
 */
const maximumRetryAfterSpreadShare = 0.25;

/**
 * Creates the refusal of a request that has not started. Each refusal is given a later retry time than the one before,
 * at half of the rate at which requests finish, so that refused callers do not retry together.
 *
 * @param table - admission table; its `nextRetryAt` is advanced
 * @param request - refused request
 * @param reason - why it is refused
 * @param wait - expected time in milliseconds until the request could have started
 * @param now - monotonic time
 * @param notBefore - monotonic time before which no request can start. Default: now.
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
    const { maximumRetryAfterSeconds, plannedRetryAfter, retryAfterStepSeconds } = table.options;
    if (plannedRetryAfter && notBefore <= now) {
        const seconds = (planReturn(table, request, now + wait, now) - now) / 1_000;
        const planned = Math.max(1, Math.ceil(seconds / retryAfterStepSeconds)) * retryAfterStepSeconds;
        return { ran: "no", reason, retryAfterSeconds: Math.min(maximumRetryAfterSeconds, Number(planned.toFixed(3))) };
    }
    const step = table.averageServiceTime / Math.max(1, table.capacity) / retryThroughputShare;
    const latest = Math.max(now, notBefore) + maximumRetryAfterSeconds * 1_000;
    const retryAt = Math.min(latest, Math.max(now + wait, notBefore, table.nextRetryAt + step));
    table.nextRetryAt = retryAt;
    const spread = scoreRendezvous(request.requestId, "return") / 2 ** 32;
    const blockedSeconds = Math.max(0, notBefore - now) / 1_000;
    const remainingSeconds = (retryAt - now) / 1_000 - blockedSeconds;
    const duration = remainingSeconds * (1 + spread * maximumRetryAfterSpreadShare) + spread * retryAfterStepSeconds;
    // Times beyond the maximum are spread over its second half, so that these callers do not all retry at its end.
    const spreadDuration = duration >= maximumRetryAfterSeconds ?
        maximumRetryAfterSeconds * (1 + spread) / 2 :
        duration;
    const longest = blockedSeconds + maximumRetryAfterSeconds;
    const steps = Math.max(1, Math.ceil((blockedSeconds + spreadDuration) / retryAfterStepSeconds));
    // Rounded to milliseconds, since the product of a fractional step is not exact.
    const retryAfterSeconds = Math.min(longest, Number((steps * retryAfterStepSeconds).toFixed(3)));
    return { ran: "no", reason, retryAfterSeconds };
}
