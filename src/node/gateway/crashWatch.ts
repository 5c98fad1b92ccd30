import type { Logger } from "pino";
import { createLifetimeId } from "../../runtime/gateway/index.js";
import type { Clock, Fingerprint, ListedBackendServer, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import { checkListening, createLossTracker, type ListeningState } from "../crashes/index.js";

/** Crash of a backend server that had requests in progress. */
export interface ObservedCrash {
    /** Lifetime of the backend server, so that its crash counts only once. */
    readonly crashId: string;
    readonly service: string;
    /** Unanswered requests that this gateway had in progress there. */
    readonly fingerprints: readonly Fingerprint[];
}

/** Attempt that is tracked until its backend server has begun to answer. */
export interface TrackedAttempt {
    /** Records that the answer has begun; a later crash of the backend server does not count against the request. */
    answered(): void;
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
     * @param fingerprint - the request
     * @returns the attempt, which must be finished in any case
     */
    trackAttempt(server: ListedBackendServer, fingerprint: Fingerprint): TrackedAttempt;
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

    async function check(server: ListedBackendServer, crashId: string): Promise<void> {
        const { address, instance, service } = server;
        const first = await checkListening(address, input.connectTimeLimit);
        // The check may have failed because a packet was lost, so it is repeated once.
        const state = first === "unknown" ? await checkListening(address, input.connectTimeLimit) : first;
        checks.delete(crashId);
        const fingerprints = [...brokenRequests.get(crashId) ?? []];
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
            input.onCrash({ crashId, service, fingerprints });
        }
    }

    function checkOnce(server: ListedBackendServer, crashId: string): Promise<void> {
        const running = checks.get(crashId) ?? check(server, crashId);
        checks.set(crashId, running);
        return running;
    }

    return {
        trackAttempt: (server, fingerprint) => {
            const crashId = createLifetimeId(server);
            const endProgress = losses.begin(crashId, fingerprint);
            let inProgress = true;
            const stopTracking = (): boolean => {
                const wasTracked = inProgress;
                inProgress = false;
                if (wasTracked) {
                    endProgress();
                }
                return wasTracked;
            };
            return {
                answered: () => {
                    if (stopTracking()) {
                        input.onAnswer(fingerprint);
                    }
                },
                finish: async connectionBroke => {
                    const wasInProgress = stopTracking();
                    if (!wasInProgress || !connectionBroke) {
                        return;
                    }
                    const known = brokenRequests.get(crashId) ?? new Set<Fingerprint>();
                    losses.recordLoss(crashId, fingerprint, false).fingerprints.forEach(lost => known.add(lost));
                    brokenRequests.set(crashId, known);
                    await Promise.race([checkOnce(server, crashId), sleep(maximumCheckWait)]);
                },
            };
        },
    };
}
