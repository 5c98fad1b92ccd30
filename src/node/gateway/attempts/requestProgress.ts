import type { Milliseconds } from "../../../types/index.js";
import type { RelayProgress } from "../answers/answerRelay.js";
import type { BrokenAttempt, BufferedAnswer, GatewayRequest } from "../types.js";
import type { AttemptRace } from "./attemptRace.js";

/** Progress of a request over all attempts. */
export interface RequestProgress extends RelayProgress {
    readonly race: AttemptRace;
    /** Instances to which the request was sent. */
    readonly excluded: Set<string>;
    /** Attempts that have ended and whose request was written to a backend server. */
    sent: number;
    /** Attempts, including those that were never written. */
    attempts: number;
    /** True if an attempt may have run. */
    mayHaveRun: boolean;
    /** Newest failure of an attempt, unless the end of the request ended the attempt; undefined if there is none. */
    brokenAttempt: BrokenAttempt | undefined;
    /** Whole answer with a server error, which is sent if no attempt brings another one; the newest if there are several. */
    answer: BufferedAnswer | undefined;
}

/**
 * Maximum attempts per request, including those whose request was never written; connections to dead servers fail
 * within a millisecond.
 */
const maximumTotalAttempts = 4;

/** Remaining time below which a request is not retried. */
export const minimumRemainingTime: Milliseconds = 20;

/**
 * Tells whether the answer has begun and no other backend server can continue it.
 *
 * @param request - the request
 * @param progress - what was sent to the caller
 * @returns true if only the present attempt can complete the answer
 */
export function mustComplete({ route }: GatewayRequest, { resumable, writer }: RelayProgress): boolean {
    return writer.headSent() && !(route.resumable && resumable);
}

/**
 * Tells whether the time and the maximum number of attempts allow another one.
 *
 * @param request - the request
 * @param progress - attempts so far
 * @param now - monotonic time
 * @returns false if the request ends with the attempts that it has
 */
export function allowsAttempt(
    { endsAt, signal }: GatewayRequest,
    { attempts }: RequestProgress,
    now: Milliseconds,
): boolean {
    return attempts < maximumTotalAttempts && endsAt - now > minimumRemainingTime && !signal.aborted;
}
