import { type Result } from "true-myth/result";
import { abandonAttempt, type BackendServerRow, beginAttempt, endAttempt } from "../../../runtime/gateway/index.js";
import type { Clock } from "../../../types/index.js";
import type { AttemptFailure } from "../types.js";

/** Attempt in progress, as the routing state of its backend server counts it. */
export interface StartedAttempt extends Disposable {
    /**
     * Records that the answer has begun, or how the attempt failed before it began.
     *
     * @param opened - result of opening the attempt
     */
    recordHead(opened: Result<unknown, AttemptFailure>): void;
}

/** The request was written, and nothing was heard of the backend server until this gateway abandoned the attempt. */
function wasSilent({ connectionBroke, ran, reason }: AttemptFailure): boolean {
    return ran === "unknown" && reason === "connection-lost" && !connectionBroke;
}

/**
 * Tells whether anything of a failed attempt reached its backend server.
 *
 * @param failure - failed attempt
 * @returns false if the connection was lost before the request was written
 */
export function reachedServer({ ran, reason }: AttemptFailure): boolean {
    return ran !== "no" || reason !== "connection-lost";
}

/**
 * Counts an attempt in the routing state of a backend server: as one whose answer has not begun, and as the trial if one
 * is due.
 *
 * @param server - backend server that the attempt is sent to
 * @param clock - time source
 * @returns the attempt; disposing of it ends what has not ended
 */
export function startAttempt({ answerDelay, runner }: BackendServerRow, clock: Clock): StartedAttempt {
    const unanswered = beginAttempt(answerDelay, clock.monotonic());
    const isTrial = runner.trial === "due";
    let isAwaiting = true;
    runner.awaitingFirst++;
    if (isTrial) {
        runner.trial = "running";
    }

    function stopAwaiting(hasBegun: boolean): void {
        if (!isAwaiting) {
            return;
        }
        isAwaiting = false;
        runner.awaitingFirst--;
        if (isTrial) {
            runner.trial = hasBegun ? "none" : "due";
        }
    }

    return {
        recordHead: opened => {
            stopAwaiting(opened.isOk);
            if (opened.isErr && wasSilent(opened.error)) {
                abandonAttempt(answerDelay, unanswered, clock.monotonic());
            }
            else {
                // A connection that broke brought no byte.
                endAttempt(answerDelay, unanswered, opened.isOk || opened.error.reason !== "connection-lost");
            }
        },
        [Symbol.dispose]: () => {
            stopAwaiting(false);
            endAttempt(answerDelay, unanswered, false);
        },
    };
}
