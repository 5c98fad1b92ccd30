import type { Logger } from "pino";
import { createLifetimeId } from "../../../runtime/gateway/index.js";
import { isPartFingerprint, type RequestCauses } from "../../../runtime/retry/index.js";
import type { Clock, Fingerprint, ListedBackendServer, Milliseconds } from "../../../types/index.js";
import { sleep } from "../../../utils/index.js";
import { checkListening, type ListeningState } from "../../crashes/index.js";
import type { BodyFraming } from "../../httpClient/index.js";
import { createRunningAttempts, type RunningAttempt } from "./runningAttempts.js";

/** Crash of a backend server that had requests in progress. */
export interface ObservedCrash {
    /** Lifetime of the backend server, so that its crash counts only once. */
    readonly crashId: string;
    readonly service: string;
    /** Requests without a complete answer that this gateway had in progress there, and the shared parts of their prompts. */
    readonly fingerprints: readonly Fingerprint[];
    /** Number of events that had arrived of each answer that had begun, the longest one for a part. */
    readonly events: ReadonlyMap<Fingerprint, number>;
}

/** Attempt that is tracked until its backend server has answered completely. */
export interface TrackedAttempt {
    /** Records an event of the answer; the attempt no longer holds back further requests with its parts. */
    receivedEvent(): void;
    /**
     * Records that the answer is complete; a later crash of the backend server does not count against the request. An
     * answer that ends with its connection may also have been cut off by a crash, so its backend server is checked first.
     *
     * @param succeeded - false if the answer is no success, so that the parts of the prompt may not have been read
     * @param framing - how the end of the answer is recognized
     */
    completed(succeeded: boolean, framing: BodyFraming): void;
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
     * Tells whether an attempt whose answer has not begun has a part of its prompt in common with the request.
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
    /** Called with a request that was answered completely, and the shared parts of its prompt. */
    readonly onAnswer: (fingerprints: readonly Fingerprint[]) => void;
    readonly countCheck: (service: string, state: ListeningState) => void;
}

/** Maximum time for which a failed attempt waits for the check; a host that is up answers within a round trip. */
const maximumCheckWait: Milliseconds = 50;
/** Time after which an unanswered attempt no longer holds back further requests with its parts. */
const maximumAnswerWait: Milliseconds = 2_000;
/** Maximum number of fingerprints in a log line. */
const maximumLoggedFingerprints = 8;

/** Counts the events of the longest answer to each request, or with each part, that has begun. */
function countEvents(attempts: readonly RunningAttempt[]): ReadonlyMap<Fingerprint, number> {
    const counts = new Map<Fingerprint, number>();
    for (const { causes, events } of attempts.filter(attempt => attempt.events > 0)) {
        causes.forEach(cause => counts.set(cause, Math.max(counts.get(cause) ?? 0, events)));
    }
    return counts;
}

/**
 * Creates the crash detection. A broken connection alone proves no crash, since links and single answers break too; a
 * backend server counts as crashed if its address refuses connections directly afterwards.
 *
 * @param input - clock, log and handlers
 * @returns the watch
 */
export function createCrashWatch(input: CrashWatchInput): CrashWatch {
    const { clock, logger } = input;
    const running = createRunningAttempts();
    const checks = new Map<string, Promise<ListeningState>>();
    /** Attempts without a complete answer on backend servers that may have crashed. */
    const brokenAttempts = new Map<string, Set<RunningAttempt>>();

    async function check(server: ListedBackendServer, crashId: string): Promise<ListeningState> {
        const { address, instance, service } = server;
        const first = await checkListening(address, input.connectTimeLimit);
        // The check may have failed because a packet was lost, so it is repeated once.
        const state = first === "unknown" ? await checkListening(address, input.connectTimeLimit) : first;
        checks.delete(crashId);
        const broken = [...brokenAttempts.get(crashId) ?? []];
        brokenAttempts.delete(crashId);
        const causes = [...new Set(broken.flatMap(attempt => attempt.causes))];
        const events = countEvents(broken);
        const fingerprints = causes.filter(cause => !isPartFingerprint(cause));
        input.countCheck(service, state);
        logger.info({
            peer: instance,
            address,
            service,
            crashId,
            outcome: state,
            requests: fingerprints.length,
            answering: fingerprints.filter(fingerprint => events.has(fingerprint)).length,
            parts: causes.length - fingerprints.length,
            fingerprints: fingerprints.slice(0, maximumLoggedFingerprints).join(","),
        }, "backend server checked");
        if (state === "refused") {
            input.onCrash({ crashId, service, fingerprints: causes, events });
        }
        return state;
    }

    /** Checks a backend server on which an attempt has ended early; the others there may have been cut off as well. */
    function checkAfter(attempt: RunningAttempt, server: ListedBackendServer): Promise<ListeningState> {
        const { crashId } = attempt;
        const broken = brokenAttempts.get(crashId) ?? new Set<RunningAttempt>();
        [attempt, ...running.list(crashId)].forEach(cut => broken.add(cut));
        brokenAttempts.set(crashId, broken);
        const current = checks.get(crashId) ?? check(server, crashId);
        checks.set(crashId, current);
        return current;
    }

    return {
        isAwaitingAnswer: parts => running.isAwaitingAnswer(parts, clock.monotonic() - maximumAnswerWait),
        trackAttempt: (server, request) => {
            const attempt = running.begin(createLifetimeId(server), request, clock.monotonic());
            return {
                receivedEvent: () => running.recordEvent(attempt),
                completed: (succeeded, framing) => {
                    if (!running.end(attempt)) {
                        return;
                    }
                    const harmless = succeeded ? attempt.causes : [request.fingerprint];
                    if (framing !== "connection") {
                        input.onAnswer(harmless);
                        return;
                    }
                    void checkAfter(attempt, server).then(state => {
                        if (state === "listening") {
                            input.onAnswer(harmless);
                        }
                    });
                },
                finish: async connectionBroke => {
                    const wasInProgress = running.end(attempt);
                    if (wasInProgress && connectionBroke) {
                        await Promise.race([checkAfter(attempt, server), sleep(maximumCheckWait)]);
                    }
                },
            };
        },
    };
}
