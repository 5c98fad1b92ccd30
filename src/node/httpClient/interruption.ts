import type { Milliseconds } from "../../types/index.js";

/** Signal of one call, which is aborted by the caller's signal, a time limit or a stop of the call. */
export interface Interruption {
    readonly signal: AbortSignal;
    /**
     * Sets the function that is called at once when the call is interrupted; there is one at most. It costs less than a
     * listener of the signal, which is created when it is first read.
     */
    onInterrupt(listener: () => void): void;
    /** @returns true if the call was interrupted for any reason */
    isInterrupted(): boolean;
    /** @returns true if the caller's signal was aborted */
    canceled(): boolean;
    /** @returns true if the time limit was exceeded */
    timedOut(): boolean;
    /** @returns true if the call was ended by `stop` */
    stopped(): boolean;
    /** Ends the call as if its time limit was exceeded. */
    timeOut(): void;
    /** Ends the call, for example because the response is too large. */
    stop(): void;
    /**
     * Sets the time limit, which replaces an earlier one.
     *
     * @param duration - time from now; `Infinity` for none
     */
    setTimeLimit(duration: Milliseconds): void;
    /** Removes the time limit. */
    clearTimeLimit(): void;
    /** Removes the time limit and the listener on the caller's signal. */
    dispose(): void;
}

/**
 * Creates the interruption of one call. It doesn't use `AbortSignal.any`, because a long-lived source keeps references
 * to such signals on Node 20.
 *
 * @param source - the caller's signal
 * @returns the interruption
 */
export function createInterruption(source: AbortSignal | undefined): Interruption {
    let controller: AbortController | undefined;
    let interrupt: (() => void) | undefined;
    let timer: NodeJS.Timeout | undefined;
    let pendingAbort: NodeJS.Immediate | undefined;
    let hasTimedOut = false;
    let stopped = false;
    let canceled = source?.aborted ?? false;
    let isInterrupted = canceled;

    function end(): void {
        if (!isInterrupted) {
            isInterrupted = true;
            interrupt?.();
            controller?.abort();
        }
    }

    function cancel(): void {
        canceled = true;
        end();
    }

    function readSignal(): AbortSignal {
        if (controller === undefined) {
            controller = new AbortController();
            if (isInterrupted) {
                controller.abort();
            }
        }
        return controller.signal;
    }

    function clearTimeLimit(): void {
        clearTimeout(timer);
        clearImmediate(pendingAbort);
    }

    function timeOut(): void {
        hasTimedOut = true;
        end();
    }

    function setTimeLimit(duration: Milliseconds): void {
        clearTimeLimit();
        if (duration === Infinity) {
            return;
        }
        timer = setTimeout(() => {
            // If the event loop was blocked, data that arrived in time is read before this callback runs.
            pendingAbort = setImmediate(timeOut);
        }, duration);
    }

    source?.addEventListener("abort", cancel, { once: true });
    return {
        get signal() {
            return readSignal();
        },
        onInterrupt: listener => {
            interrupt = listener;
        },
        isInterrupted: () => isInterrupted,
        canceled: () => canceled,
        timedOut: () => hasTimedOut,
        stopped: () => stopped,
        timeOut,
        stop: () => {
            stopped = true;
            end();
        },
        setTimeLimit,
        clearTimeLimit,
        dispose: () => {
            clearTimeLimit();
            source?.removeEventListener("abort", cancel);
        },
    };
}
