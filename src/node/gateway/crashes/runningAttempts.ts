import type { RequestCauses } from "../../../runtime/retry/index.js";
import type { Fingerprint, Milliseconds } from "../../../types/index.js";

/** Attempt whose answer is not complete. */
export interface RunningAttempt {
    /** Lifetime of its backend server. */
    readonly crashId: string;
    /** The request, and the shared parts of its prompt. */
    readonly causes: readonly Fingerprint[];
    /** Events of its answer that have arrived; 0 for an answer that is no stream. */
    events: number;
}

/** Attempts without a complete answer, by the lifetime of their backend server. */
export interface RunningAttempts {
    /**
     * Adds an attempt.
     *
     * @param crashId - lifetime of its backend server
     * @param request - the request, and the shared parts of its prompt
     * @param now - monotonic time
     * @returns the attempt
     */
    begin(crashId: string, request: RequestCauses, now: Milliseconds): RunningAttempt;
    /** Records that an event of the answer to an attempt has arrived. */
    recordEvent(attempt: RunningAttempt): void;
    /**
     * Removes an attempt.
     *
     * @param attempt - the attempt
     * @returns false if it was removed before
     */
    end(attempt: RunningAttempt): boolean;
    /** Lists the attempts on a backend server. */
    list(crashId: string): readonly RunningAttempt[];
    /**
     * Tells whether an attempt whose answer has not begun has one of the parts.
     *
     * @param parts - fingerprints of parts of prompts
     * @param after - monotonic time; attempts that were sent until then do not count
     * @returns true if there is one
     */
    isAwaitingAnswer(parts: readonly Fingerprint[], after: Milliseconds): boolean;
}

interface AwaitingAttempt {
    readonly sentAt: Milliseconds;
    /** The causes as a set; created when it is first needed. */
    causeSet: ReadonlySet<Fingerprint> | undefined;
}

/**
 * Creates the table of attempts. An attempt is one row, whatever the number of parts of its prompt.
 *
 * @returns the table, empty
 */
export function createRunningAttempts(): RunningAttempts {
    const byServer = new Map<string, Set<RunningAttempt>>();
    /** Attempts whose answer has not begun. */
    const awaiting = new Map<RunningAttempt, AwaitingAttempt>();

    function hasPart({ causes }: RunningAttempt, row: AwaitingAttempt, parts: readonly Fingerprint[]): boolean {
        const causeSet = row.causeSet ?? new Set(causes);
        row.causeSet = causeSet;
        return parts.some(part => causeSet.has(part));
    }

    return {
        begin: (crashId, { fingerprint, partFingerprints = [] }, now) => {
            const attempt: RunningAttempt = {
                crashId,
                causes: [fingerprint, ...partFingerprints],
                events: 0,
            };
            const attempts = byServer.get(crashId) ?? new Set<RunningAttempt>();
            byServer.set(crashId, attempts.add(attempt));
            awaiting.set(attempt, { sentAt: now, causeSet: undefined });
            return attempt;
        },
        recordEvent: attempt => {
            attempt.events++;
            awaiting.delete(attempt);
        },
        end: attempt => {
            awaiting.delete(attempt);
            const attempts = byServer.get(attempt.crashId);
            const wasRunning = attempts?.delete(attempt) ?? false;
            if (attempts?.size === 0) {
                byServer.delete(attempt.crashId);
            }
            return wasRunning;
        },
        list: crashId => [...byServer.get(crashId) ?? []],
        isAwaitingAnswer: (parts, after) =>
            parts.length > 0 &&
            [...awaiting].some(([attempt, row]) => row.sentAt > after && hasPart(attempt, row, parts)),
    };
}
