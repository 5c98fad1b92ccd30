import type { RanState, Refusal, RefusalReason } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { takeRetry } from "./budget.js";
import type { RetryDecision, RetryInput } from "./types.js";

/** Whether another runner may accept a request that was refused for this reason; the other refusals are final. */
const retryableReasons: Readonly<Record<RefusalReason, boolean>> = {
    "no-deployment": false,
    "no-runner": false,
    "not-serving": true,
    draining: true,
    "hold-lapsed": true,
    "queue-full": true,
    "turned-away": true,
    "rate-limited": true,
    "slow-start": true,
    "outside-regions": false,
    evacuated: false,
    "account-share-exceeded": true,
    "deadline-unreachable": true,
    "deadline-passed": false,
    "retry-budget-exhausted": false,
    "key-invalid": false,
    "key-expired": false,
    "key-predates-owner": false,
    "key-in-progress": false,
    "key-already-accepted": false,
    "key-reused-with-other-body": false,
    "not-key-owner": true,
    "crashes-backend-servers": false,
    "may-crash-backend-servers": false,
    "backend-server-crashed": true,
    "backend-server-error": true,
    "connection-lost": true,
    "answer-mismatched": true,
    "invalid-request": false,
    "internal-error": false,
    canceled: false,
};

/** Seconds over which callers spread their next attempt if they were refused because the retry budget was used up. */
const retryAfterSpreadSeconds = 5;

function giveUp(input: RetryInput, reason: RefusalReason, explanation: string): RetryDecision {
    const ran: RanState = input.refusal.ran === "unknown" || input.mayHaveRun === true ? "unknown" : "no";
    const refusal: Refusal = { ...input.refusal, ran, reason };
    return { kind: "give-up", refusal, reason: explanation };
}

function giveUpWithoutBudget(input: RetryInput): RetryDecision {
    const spread = scoreRendezvous(input.request.requestId, "retry-budget") % retryAfterSpreadSeconds;
    const retryAfterSeconds = Math.max(1, input.refusal.retryAfterSeconds) + spread;
    const refusal = { ...input.refusal, retryAfterSeconds };
    return giveUp({ ...input, refusal }, "retry-budget-exhausted", "the retry budget is used up");
}

/**
 * Decides whether a failed attempt is retried on another runner. A request that may have run is retried only if it is
 * idempotent, and no request is retried once a part of its answer has reached the caller.
 *
 * @param input - request, refusal of the attempt, standing of the request after any crash of this attempt was reported,
 * and budget; one retry is taken from the budget if the attempt reached its backend server
 * @returns `retry`, with `alone` set for requests that may have crashed a backend server; or `give-up` with the refusal
 * for the caller
 */
export function decideRetry(input: RetryInput): RetryDecision {
    const { request, refusal, options } = input;
    if (input.isOver === true) {
        return giveUp(input, refusal.reason, "the request has ended");
    }
    if (input.answerBegun) {
        return giveUp({ ...input, mayHaveRun: true }, refusal.reason, "a part of the answer has reached the caller");
    }
    if (input.standing === "condemned") {
        return giveUp(input, "crashes-backend-servers", "the request crashed backend servers");
    }
    if (!retryableReasons[refusal.reason]) {
        return giveUp(input, refusal.reason, "the refusal is final");
    }
    if (refusal.ran === "unknown" && !request.idempotent) {
        return giveUp(input, refusal.reason, "the request may have run and is not idempotent");
    }
    if (input.mayRepeat === false) {
        return giveUp(input, refusal.reason, "one more attempt may crash another backend server");
    }
    if (input.attempts >= options.maximumAttempts) {
        return giveUp(input, refusal.reason, "the attempts are used up");
    }
    if (input.now >= request.deadline) {
        return giveUp(input, "deadline-passed", "the deadline has passed");
    }
    if (input.reachedServer !== false && !takeRetry(input.budget, input.now, options)) {
        return giveUpWithoutBudget(input);
    }
    const alone = input.standing === "suspect" || input.backendServerCrashed;
    return { kind: "retry", alone, reason: refusal.ran === "no" ? "the request did not run" : "it is idempotent" };
}
