import type { RunnerOutcome } from "../../runtime/routing/index.js";
import type { Refusal, RefusalReason } from "../../types/index.js";
import type { AttemptOutcome } from "./attempt.js";

/** Refusals that do not count as a failure of the runner. */
const neutralReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
    "canceled",
    "queue-full",
    "account-share-exceeded",
    "deadline-unreachable",
    "deadline-passed",
    "draining",
    "not-serving",
    "key-invalid",
    "key-expired",
    "key-predates-owner",
    "key-in-progress",
    "key-already-accepted",
    "key-reused-with-other-body",
    "not-key-owner",
]);

/** Refusals by which an owner reports that it has not run the request itself, but that an earlier owner may have. */
const earlierOwnerReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
    "key-predates-owner",
    "not-key-owner",
    "hold-lapsed",
]);
/** Seconds after which an instance that has just become an owner accepts a new key. */
const newOwnerRetrySeconds = 3;

/**
 * Changes an owner's refusal from `unknown` to `no` where the request cannot have run: no earlier owner can have seen a
 * key that was created for this request.
 *
 * @param refusal - the owner's refusal of the first attempt
 * @param hasGeneratedKey - true if the entry instance created the key for this request
 * @returns the refusal for the caller
 */
export function refineRefusal(refusal: Refusal, hasGeneratedKey: boolean): Refusal {
    if (!hasGeneratedKey || refusal.ran === "no" || !earlierOwnerReasons.has(refusal.reason)) {
        return refusal;
    }
    return { ...refusal, ran: "no", retryAfterSeconds: Math.max(refusal.retryAfterSeconds, newOwnerRetrySeconds) };
}

/**
 * Classifies the outcome of an attempt, since consecutive failures eject a runner.
 *
 * @param outcome - how the attempt ended
 * @returns `neutral` for refusals that do not count as a failure of the runner
 */
export function classifyOutcome(outcome: AttemptOutcome): RunnerOutcome {
    if (outcome.kind === "complete") {
        return "succeeded";
    }
    return neutralReasons.has(outcome.refusal.reason) ? "neutral" : "failed";
}
