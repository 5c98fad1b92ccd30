import type { Logger } from "pino";
import { createLifetimeId } from "../../../runtime/gateway/index.js";
import { isPartFingerprint, type RequestCauses } from "../../../runtime/retry/index.js";
import type { Clock, Fingerprint, ListedBackendServer, Milliseconds } from "../../../types/index.js";
import { sleep } from "../../../utils/index.js";
import { checkListening, createLossTracker, type ListeningState } from "../../crashes/index.js";

/** Crash of a backend server that had requests in progress. */
export interface ObservedCrash {
    /** Lifetime of the backend server, so that its crash counts only once. */
    readonly crashId: string;
    readonly service: string;
    /** Unanswered requests that this gateway had in progress there, and the shared parts of their prompts. */
    readonly fingerprints: readonly Fingerprint[];
}

/** Attempt that is tracked until its backend server has begun to answer. */
export interface TrackedAttempt {
    /**
     * Records that the answer has begun; a later crash of the backend server does not count against the request.
     *
     * @param succeeded - false if the answer is no success, so that the parts of the prompt may not have been read
     */
    answered(succeeded: boolean): void;
    /**
     * Records the end of the attempt.
     *
     * @param connectionBroke - true if the connection broke while the request may have run
     * @returns resolves once it is known whether the backend server has crashed, or after a short time
     */
    finish(connectionBroke: boolean): Promise<void>;
}

/** Detects crashes of backend servers while requests are in progress. */
export interface CrashWatch {
    /**
     * Starts tracking an attempt.
     *
     * @param server - backend server that the attempt is sent to
     * @param request - the request, and the shared parts of its prompt
     * @returns the attempt, which must be finished in any case
     */
    trackAttempt(server: ListedBackendServer, request: RequestCauses): TrackedAttempt;
    /**
     * Tells whether an attempt without an answer has a part of its prompt in common with the request.
     *
     * @param parts - fingerprints of parts of prompts
     * @returns true if such an attempt began less than two seconds ago at this gateway
     */
    isAwaitingAnswer(parts: readonly Fingerprint[]): boolean;
}

/** Dependencies of {@link createCrashWatch}. */
export interface CrashWatchInput {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time within which a connection to a backend server must be established. */
    readonly connectTimeLimit: Milliseconds;
    readonly onCrash: (end: ObservedCrash) => void;
    readonly onAnswer: (fingerprint: Fingerprint) => void;
    readonly countCheck: (service: string, state: ListeningState) => void;
}

/** Maximum time for which a failed attempt waits for the check; a host that is up answers within a round trip. */
const maximumCheckWait: Milliseconds = 50;
/** Time after which an unanswered attempt no longer holds back further requests with its parts. */
const maximumAnswerWait: Milliseconds = 2_000;
/** Maximum number of fingerprints in a log line. */
const maximumLoggedFingerprints = 8;

/**
 * Creates the crash detection. A broken connection alone proves no crash, since links and single answers break too; a
 * backend server counts as crashed if its address refuses connections directly afterwards.
 *
 * @param input - clock, log and handlers
 * @returns the watch
 */
export function createCrashWatch(input: CrashWatchInput): CrashWatch {
    const { clock, logger } = input;
    const losses = createLossTracker(clock);
    const checks = new Map<string, Promise<void>>();
    const brokenRequests = new Map<string, Set<Fingerprint>>();
    /** Monotonic times at which the attempts without an answer began, by part of their prompts, the oldest first. */
    const awaitingAnswer = new Map<Fingerprint, Milliseconds[]>();

    function beginAwaiting(part: Fingerprint, at: Milliseconds): void {
        awaitingAnswer.set(part, [...awaitingAnswer.get(part) ?? [], at]);
    }

    function endAwaiting(part: Fingerprint, at: Milliseconds): void {
        const begun = awaitingAnswer.get(part) ?? [];
        begun.splice(begun.indexOf(at), 1);
        if (begun.length === 0) {
            awaitingAnswer.delete(part);
        }
    }

    function isAwaiting(part: Fingerprint): boolean {
        const newest = awaitingAnswer.get(part)?.at(-1);
        return newest !== undefined && clock.monotonic() - newest < maximumAnswerWait;
    }

    async function check(server: ListedBackendServer, crashId: string): Promise<void> {
        const { address, instance, service } = server;
        const first = await checkListening(address, input.connectTimeLimit);
        // The check may have failed because a packet was lost, so it is repeated once.
        const state = first === "unknown" ? await checkListening(address, input.connectTimeLimit) : first;
        checks.delete(crashId);
        const causes = [...brokenRequests.get(crashId) ?? []];
        const fingerprints = causes.filter(cause => !isPartFingerprint(cause));
        brokenRequests.delete(crashId);
        input.countCheck(service, state);
        logger.info({
            peer: instance,
            address,
            service,
            crashId,
            outcome: state,
            requests: fingerprints.length,
            fingerprints: fingerprints.slice(0, maximumLoggedFingerprints).join(","),
        }, "backend server checked");
        if (state === "refused") {
            input.onCrash({ crashId, service, fingerprints: causes });
        }
    }

    function checkOnce(server: ListedBackendServer, crashId: string): Promise<void> {
        const running = checks.get(crashId) ?? check(server, crashId);
        checks.set(crashId, running);
        return running;
    }

    return {
        isAwaitingAnswer: parts => parts.some(isAwaiting),
        trackAttempt: (server, { fingerprint, partFingerprints = [] }) => {
            const crashId = createLifetimeId(server);
            const causes = [fingerprint, ...partFingerprints];
            const ends = causes.map(cause => losses.begin(crashId, cause));
            const begunAt = clock.monotonic();
            partFingerprints.forEach(part => beginAwaiting(part, begunAt));
            let inProgress = true;
            const stopTracking = (): boolean => {
                const wasTracked = inProgress;
                inProgress = false;
                if (wasTracked) {
                    ends.forEach(end => end());
                    partFingerprints.forEach(part => endAwaiting(part, begunAt));
                }
                return wasTracked;
            };
            return {
                answered: succeeded => {
                    if (stopTracking()) {
                        (succeeded ? causes : [fingerprint]).forEach(input.onAnswer);
                    }
                },
                finish: async connectionBroke => {
                    const wasInProgress = stopTracking();
                    if (!wasInProgress || !connectionBroke) {
                        return;
                    }
                    const known = brokenRequests.get(crashId) ?? new Set<Fingerprint>();
                    causes.flatMap(cause => losses.recordLoss(crashId, cause, false).fingerprints)
                        .forEach(lost => known.add(lost));
                    brokenRequests.set(crashId, known);
                    await Promise.race([checkOnce(server, crashId), sleep(maximumCheckWait)]);
                },
            };
        },
    };
}
