import type { BlockedReason, RanState, Refusal, RefusalReason } from "../../../types/index.js";
import { scoreRendezvous } from "../../../utils/index.js";
import type { RequestProgress } from "../attempts/requestProgress.js";
import { isTimeLimit } from "../callers/timeLimit.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { RequestLog } from "../requestLog.js";
import type { ServerSelection } from "../selection/serverSelector.js";
import type { AbortReason, GatewayRequest } from "../types.js";
import { type GatewayStatus, sendAnswer, sendGatewayAnswer } from "./callerAnswer.js";

/** Ends requests that no backend server has answered. */
export interface FinalAnswers {
    /**
     * Ends a request after its last attempt.
     *
     * @param request - the request
     * @param progress - what was sent to the caller, and the answer of a backend server that is left for it
     * @param refusal - what the caller gets without such an answer
     */
    fail(request: GatewayRequest, progress: RequestProgress, refusal: Refusal): void;
    /**
     * Refuses a request that was not sent to any backend server.
     *
     * @param request - the request
     * @param refusal - the reason
     */
    refuse(request: GatewayRequest, refusal: Refusal): void;
}

/** Retry time in seconds for callers when no backend server can answer at the moment. */
export const unavailableRetryAfterSeconds = 1;

/** Reasons that end at a time which the decision states. */
const blockedReasons: ReadonlySet<RefusalReason> = new Set<BlockedReason>([
    "turned-away",
    "rate-limited",
    "slow-start",
]);

/**
 * Describes the refusal of a request that no backend server can take. Retry times are spread, so that the
 * callers do not all return as soon as a backend server accepts requests again.
 *
 * @param request - the request
 * @param selection - selection without a backend server
 * @param ran - whether the request may have run
 * @returns the refusal
 */
export function describeUnavailable(
    { row }: GatewayRequest,
    { decision }: ServerSelection,
    ran: RanState,
): Refusal {
    const reason = decision.kind === "none" ? decision.reason : "no-runner";
    if (decision.kind === "none" && blockedReasons.has(reason)) {
        const spread = scoreRendezvous(row.requestId, "turned-away") / 2 ** 32;
        const retryAfterSeconds = Number((decision.retryAfterSeconds + spread).toFixed(3));
        return { ran, reason, retryAfterSeconds };
    }
    return { ran, reason, retryAfterSeconds: unavailableRetryAfterSeconds };
}

/** Status 503 tells the caller that the request may be retried. */
function chooseStatus({ ran, reason }: Refusal, abortReason: AbortReason | undefined): GatewayStatus {
    if (ran === "no" && reason !== "crashes-backend-servers") {
        return 503;
    }
    return isTimeLimit(abortReason) ? 504 : 502;
}

/**
 * Creates the functions that end unanswered requests.
 *
 * @param log - log of decisions
 * @param metrics - counts of outcomes
 * @returns the functions
 */
export function createFinalAnswers(
    log: Pick<RequestLog, "refusal">,
    metrics: Pick<GatewayMetrics, "countOutcome" | "countRefusal">,
): FinalAnswers {
    return {
        fail: (request, progress, refusal) => {
            const reason = request.readAbortReason();
            if (reason === "caller-gone" || progress.writer.headSent()) {
                metrics.countOutcome(request, reason === "caller-gone" ? "canceled" : "broken-off");
                request.breakOff(reason === undefined ? progress.brokenAttempt : undefined);
                return;
            }
            if (progress.answer !== undefined) {
                metrics.countOutcome(request, "server-error");
                sendAnswer(request.response, progress.answer, request.held);
                return;
            }
            metrics.countOutcome(request, refusal.ran === "no" ? "refused" : "failed");
            sendGatewayAnswer(request.response, chooseStatus(refusal, reason), refusal);
        },
        refuse: (request, refusal) => {
            log.refusal(request, refusal);
            if (request.readAbortReason() === "caller-gone") {
                metrics.countOutcome(request, "canceled");
                request.response.destroy();
                return;
            }
            metrics.countOutcome(request, "refused");
            metrics.countRefusal(request, refusal.reason);
            sendGatewayAnswer(request.response, chooseStatus(refusal, undefined), refusal);
        },
    };
}
