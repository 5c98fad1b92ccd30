import type { Result } from "true-myth/result";
import type { BackendServerRow } from "../../../runtime/gateway/index.js";
import type { Clock, Milliseconds } from "../../../types/index.js";
import type { AttemptFailure } from "../types.js";

/** Attempt that runs beside others of the same request. */
export interface RacingAttempt {
    readonly server: BackendServerRow;
    /** Aborted when the request is, or when another attempt has claimed the answer. */
    readonly signal: AbortSignal;
    /** Monotonic time from which on the peer has been silent; undefined if it is not known to be silent. */
    silentSince: Milliseconds | undefined;
    /** True once its silence was recorded as a failure of the backend server. */
    hasFailed: boolean;
    /** Tells whether other attempts are in flight. */
    hasRivals(): boolean;
    /**
     * Claims what is written to the caller next, which cancels all other attempts.
     *
     * @returns false if another attempt has claimed the answer since this one was started
     */
    claim(): boolean;
}

/** Attempt that has ended, unless another one had claimed the answer. */
export interface EndedAttempt {
    readonly attempt: RacingAttempt;
    readonly outcome: Result<void, AttemptFailure>;
}

/** Attempts at one request, of which at most one writes to the caller at any time. */
export interface AttemptRace extends AsyncDisposable {
    /** Lists the attempts that may still answer, the oldest first. */
    listInFlight(): readonly RacingAttempt[];
    /**
     * Starts an attempt.
     *
     * @param server - backend server of the attempt
     * @param run - runs the attempt until it has ended
     */
    start(server: BackendServerRow, run: (attempt: RacingAttempt) => Promise<Result<void, AttemptFailure>>): void;
    /**
     * Waits until an attempt in flight has ended; it is no longer in flight then.
     *
     * @returns the attempt with its outcome
     */
    awaitEnd(): Promise<EndedAttempt>;
}

/**
 * Reads how long the peer of an attempt has been silent.
 *
 * @param attempt - the attempt
 * @param clock - time source
 * @returns time since the last byte; 0 if the peer is not known to be silent
 */
export function readSilence({ silentSince }: RacingAttempt, clock: Pick<Clock, "monotonic">): Milliseconds {
    return silentSince === undefined ? 0 : clock.monotonic() - silentSince;
}

/**
 * Creates the race of a request without attempts.
 *
 * @param request - aborts all attempts
 * @returns the race; disposing of it cancels the attempts in flight and waits until all have ended
 */
export function createAttemptRace(request: AbortSignal): AttemptRace {
    const controllers = new Map<RacingAttempt, AbortController>();
    const running = new Map<RacingAttempt, Promise<EndedAttempt>>();
    const canceled: Promise<unknown>[] = [];
    let onStart = (): void => {};

    /** Cancels an attempt, whose outcome is of no further interest. */
    function cancel(attempt: RacingAttempt): void {
        canceled.push(running.get(attempt)!);
        running.delete(attempt);
        controllers.get(attempt)!.abort();
    }

    function createAttempt(server: BackendServerRow, { signal }: AbortController): RacingAttempt {
        const attempt: RacingAttempt = {
            server,
            signal,
            silentSince: undefined,
            hasFailed: false,
            hasRivals: () => running.size > 1,
            claim: () => {
                if (!running.has(attempt)) {
                    return false;
                }
                [...running.keys()].filter(other => other !== attempt).forEach(cancel);
                attempt.silentSince = undefined;
                return true;
            },
        };
        return attempt;
    }

    return {
        listInFlight: () => [...running.keys()],
        start: (server, run) => {
            // AbortSignal.any is not used: a long-lived source keeps references to such signals on Node 20.
            const controller = new AbortController();
            const abort = (): void => controller.abort();
            const attempt = createAttempt(server, controller);
            controllers.set(attempt, controller);
            request.addEventListener("abort", abort, { once: true });
            if (request.aborted) {
                abort();
            }
            const ended = run(attempt)
                .then(outcome => ({ attempt, outcome }))
                .finally(() => request.removeEventListener("abort", abort));
            running.set(attempt, ended);
            onStart();
        },
        awaitEnd: async () => {
            for (;;) {
                const started = new Promise<undefined>(resolve => {
                    onStart = () => resolve(undefined);
                });
                const ended = await Promise.race([started, ...running.values()]);
                if (ended !== undefined && running.delete(ended.attempt)) {
                    return ended;
                }
            }
        },
        [Symbol.asyncDispose]: async () => {
            [...running.keys()].forEach(cancel);
            await Promise.allSettled(canceled);
        },
    };
}
