import type { Milliseconds } from "../../types/index.js";

/** Signal of one call that its caller's signal or a time limit aborts. */
export interface Interruption {
    readonly signal: AbortSignal;
    /** @returns whether the caller's signal was aborted */
    canceled(): boolean;
    /** @returns whether the time limit was exceeded */
    timedOut(): boolean;
    /** @returns whether the call was stopped */
    stopped(): boolean;
    /** Ends the call. */
    stop(): void;
    /**
     * Sets the time limit.
     *
     * @param duration - time from now; `Infinity` for none
     */
    limit(duration: Milliseconds): void;
    /** Removes the time limit. */
    unlimit(): void;
    /** Removes the time limit and the listener on the caller's signal. */
    dispose(): void;
}

/**
 * Creates the interruption of one call. `AbortSignal.any` is not used, since on Node 20 its signals stay referenced by
 * a long-lived source.
 *
 * @param source - the caller's signal
 * @returns the interruption
 */
export function createInterruption(source: AbortSignal | undefined): Interruption {
    const controller = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    let polled: NodeJS.Immediate | undefined;
    let exceeded = false;
    let stopped = false;
    let canceled = source?.aborted ?? false;
    const cancel = (): void => {
        canceled = true;
        controller.abort();
    };

    function unlimit(): void {
        clearTimeout(timer);
        clearImmediate(polled);
    }

    function limit(duration: Milliseconds): void {
        unlimit();
        if (duration === Infinity) {
            return;
        }
        timer = setTimeout(() => {
            // After a delay of this process, what has arrived in time is read only now.
            polled = setImmediate(() => {
                exceeded = true;
                controller.abort();
            });
        }, duration);
    }

    if (canceled) {
        controller.abort();
    }
    source?.addEventListener("abort", cancel, { once: true });
    return {
        signal: controller.signal,
        canceled: () => canceled,
        timedOut: () => exceeded,
        stopped: () => stopped,
        stop: () => {
            stopped = true;
            controller.abort();
        },
        limit,
        unlimit,
        dispose: () => {
            unlimit();
            source?.removeEventListener("abort", cancel);
        },
    };
}
