import type { Logger } from "pino";
import { nameLifetime } from "../../runtime/gateway/index.js";
import type { Clock, Fingerprint, ListedBackendServer, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import { checkListening, createLossTracker, type ListeningState } from "../crashes/index.js";

/** End of a backend server that requests had in progress. */
export interface BackendServerEnd {
    /** Names the lifetime of the backend server, so that its end counts once. */
    readonly crashId: string;
    readonly service: string;
    /** Requests without an answer that this gateway had in progress there. */
    readonly fingerprints: readonly Fingerprint[];
}

/** Attempt that is followed until its backend server has begun to answer. */
export interface FollowedAttempt {
    /** Notes that the answer has begun: what happens to the backend server later is not the request's fault. */
    answered(): void;
    /**
     * Notes the end of the attempt.
     *
     * @param connectionBroke - true if the connection broke while the request may have run
     * @returns resolves once it is known whether the backend server has ended, or after a short time
     */
    finish(connectionBroke: boolean): Promise<void>;
}

/** Finds out whether backend servers end under requests. */
export interface CrashWatch {
    /**
     * Follows an attempt.
     *
     * @param server - backend server that it is sent to
     * @param fingerprint - the request
     * @returns the attempt, to be finished in any case
     */
    follow(server: ListedBackendServer, fingerprint: Fingerprint): FollowedAttempt;
}

/** Dependencies of {@link createCrashWatch}. */
export interface CrashWatchInput {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time in which a connection to a backend server must be open. */
    readonly connectTimeLimit: Milliseconds;
    readonly onEnd: (end: BackendServerEnd) => void;
    readonly onAnswer: (fingerprint: Fingerprint) => void;
    readonly countCheck: (service: string, state: ListeningState) => void;
}

/** Longest time for which a failed attempt waits for the check; a host that is up answers within a round trip. */
const verdictWait: Milliseconds = 50;
/** Fingerprints that a log line names. */
const loggedFingerprints = 8;

/**
 * Creates the watch. A lost connection alone says little, since links and single answers break too; a backend server
 * counts as ended when its address refuses connections right after.
 *
 * @param input - clock, log and what to do with an end
 * @returns the watch
 */
export function createCrashWatch(input: CrashWatchInput): CrashWatch {
    const { clock, logger } = input;
    const losses = createLossTracker(clock);
    const checks = new Map<string, Promise<void>>();
    const broken = new Map<string, Set<Fingerprint>>();

    async function check(server: ListedBackendServer, crashId: string): Promise<void> {
        const { address, instance, service } = server;
        const first = await checkListening(address, input.connectTimeLimit);
        // A packet may have been lost on the way.
        const state = first === "unknown" ? await checkListening(address, input.connectTimeLimit) : first;
        checks.delete(crashId);
        const fingerprints = [...broken.get(crashId) ?? []];
        broken.delete(crashId);
        input.countCheck(service, state);
        logger.info({
            peer: instance,
            address,
            service,
            crashId,
            outcome: state,
            requests: fingerprints.length,
            fingerprints: fingerprints.slice(0, loggedFingerprints).join(","),
        }, "backend server checked");
        if (state === "refused") {
            input.onEnd({ crashId, service, fingerprints });
        }
    }

    function checkOnce(server: ListedBackendServer, crashId: string): Promise<void> {
        const running = checks.get(crashId) ?? check(server, crashId);
        checks.set(crashId, running);
        return running;
    }

    return {
        follow: (server, fingerprint) => {
            const crashId = nameLifetime(server);
            const endProgress = losses.begin(crashId, fingerprint);
            let inProgress = true;
            const leave = (): boolean => {
                const left = inProgress;
                inProgress = false;
                if (left) {
                    endProgress();
                }
                return left;
            };
            return {
                answered: () => {
                    if (leave()) {
                        input.onAnswer(fingerprint);
                    }
                },
                finish: async connectionBroke => {
                    const wasInProgress = leave();
                    if (!wasInProgress || !connectionBroke) {
                        return;
                    }
                    const known = broken.get(crashId) ?? new Set<Fingerprint>();
                    losses.noteLoss(crashId, fingerprint, false).fingerprints.forEach(row => known.add(row));
                    broken.set(crashId, known);
                    await Promise.race([checkOnce(server, crashId), sleep(verdictWait)]);
                },
            };
        },
    };
}
