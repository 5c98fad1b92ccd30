import type { RunnerOutcome } from "../../runtime/routing/index.js";
import type { Refusal, RefusalReason } from "../../types/index.js";
import type { AttemptOutcome } from "./attempt.js";

/** Reasons that are no fault of the runner. */
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

/** Refusals by which an owner says that it has not run a key itself, but an earlier owner may have. */
const notRunByOwner: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
    "key-predates-owner",
    "not-key-owner",
    "hold-lapsed",
]);
/** Seconds after which a fresh key is accepted by an owner that has just begun. */
const freshOwnerRetrySeconds = 3;

/**
 * Refines what an owner says about a key. A key that was created for this very request cannot have run under an earlier
 * owner.
 *
 * @param refusal - the owner's refusal of the first attempt
 * @param ownKey - true if the entry instance created the key
 * @returns the refusal for the caller
 */
export function refineRefusal(refusal: Refusal, ownKey: boolean): Refusal {
    if (!ownKey || refusal.ran === "no" || !notRunByOwner.has(refusal.reason)) {
        return refusal;
    }
    return { ...refusal, ran: "no", retryAfterSeconds: Math.max(refusal.retryAfterSeconds, freshOwnerRetrySeconds) };
}

/**
 * Classifies an attempt for the ejection of its runner.
 *
 * @param outcome - how the attempt ended
 * @returns `neutral` for refusals that are no fault of the runner
 */
export function classifyOutcome(outcome: AttemptOutcome): RunnerOutcome {
    if (outcome.kind === "complete") {
        return "succeeded";
    }
    return neutralReasons.has(outcome.refusal.reason) ? "neutral" : "failed";
}
