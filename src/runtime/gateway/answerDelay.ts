import type { Milliseconds } from "../../types/index.js";

/** Attempt whose answer has not begun. */
export interface UnansweredAttempt {
    /** Monotonic time at which the attempt was started. */
    readonly sentAt: Milliseconds;
}

/** Attempts at a backend server that have brought no byte yet, from which follows how long answers take to begin. */
export interface AnswerDelay {
    /** Attempts in progress, the oldest first. */
    readonly awaiting: Set<UnansweredAttempt>;
    /** Newest attempt that was abandoned without a byte, while no later one has been answered. */
    abandoned: { readonly sentAt: Milliseconds; readonly longestWait: Milliseconds; } | undefined;
}

/** Time without a byte from which on a request may be held back on its way, rather than wait for the backend server. */
const unresponsiveAfter: Milliseconds = 1_000;
/** Time for which a request may be held back on its way to a backend server that does not respond. */
const unresponsiveDelay: Milliseconds = 4_000;

/**
 * Creates the delay of a backend server without any attempts.
 *
 * @returns the delay
 */
export function createAnswerDelay(): AnswerDelay {
    return { awaiting: new Set(), abandoned: undefined };
}

/**
 * Starts an attempt.
 *
 * @param delay - delay of the backend server; changed
 * @param now - monotonic time
 * @returns the attempt, to be ended with one of the other functions
 */
export function beginAttempt(delay: AnswerDelay, now: Milliseconds): UnansweredAttempt {
    const attempt = { sentAt: now };
    delay.awaiting.add(attempt);
    return attempt;
}

/**
 * Records that bytes of the backend server have arrived, or that nothing was sent to it.
 *
 * @param delay - delay of the backend server; changed
 * @param attempt - attempt that was answered or not sent
 * @param wasAnswered - whether bytes have arrived, which shows that attempts up to this one are no longer held back
 */
export function endAttempt(delay: AnswerDelay, attempt: UnansweredAttempt, wasAnswered: boolean): void {
    delay.awaiting.delete(attempt);
    if (wasAnswered && delay.abandoned !== undefined && delay.abandoned.sentAt <= attempt.sentAt) {
        delay.abandoned = undefined;
    }
}

/**
 * Records that an attempt was abandoned before any byte arrived.
 *
 * @param delay - delay of the backend server; changed
 * @param attempt - the attempt
 * @param now - monotonic time
 */
export function abandonAttempt(delay: AnswerDelay, attempt: UnansweredAttempt, now: Milliseconds): void {
    delay.awaiting.delete(attempt);
    delay.abandoned = {
        sentAt: Math.max(attempt.sentAt, delay.abandoned?.sentAt ?? attempt.sentAt),
        longestWait: Math.max(now - attempt.sentAt, delay.abandoned?.longestWait ?? 0),
    };
}

/**
 * Decides whether a request that is sent now could begin only after a deadline, for example since a congested link holds
 * it back. A request that was sent cannot be recalled.
 *
 * @param delay - delay of the backend server
 * @param deadline - monotonic time by which its answer must begin
 * @param now - monotonic time
 * @returns true if the request must not be sent to this backend server
 */
export function mayBeginLate(delay: AnswerDelay, deadline: Milliseconds, now: Milliseconds): boolean {
    const [oldest] = delay.awaiting;
    const wait = Math.max(oldest === undefined ? 0 : now - oldest.sentAt, delay.abandoned?.longestWait ?? 0);
    const expected = wait < unresponsiveAfter ? wait : Math.max(wait, unresponsiveDelay);
    return now + expected > deadline;
}
