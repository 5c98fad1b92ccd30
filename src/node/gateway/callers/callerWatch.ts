import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../../../types/index.js";
import type { AbortReason, TimeLimitKind } from "../types.js";

/** Abort signal of one request, with the reason for the abort. */
export interface CallerWatch {
    /** Aborted when the caller disconnects, the time limit expires or the drain ends. */
    readonly signal: AbortSignal;
    /** Resolves when the signal is aborted. */
    readonly ended: Promise<undefined>;
    readonly readReason: () => AbortReason | undefined;
    /**
     * Sets the time after which the signal is aborted.
     *
     * @param duration - time from now
     * @param kind - reason for the abort
     */
    setTimeLimit(duration: Milliseconds, kind: TimeLimitKind): void;
    /** Removes the time limit. */
    clearTimeLimit(): void;
    /** Aborts the signal because the memory of the request is needed for others. */
    endForMemory(): void;
    /** Aborts the signal because the time for the drain is over. */
    endDrain(): void;
}

/**
 * Watches the caller of a request.
 *
 * @param incoming - the request
 * @param response - response to the caller
 * @returns signal that is aborted when the caller disconnects or the time limit expires
 */
export function watchCaller({ socket }: IncomingMessage, response: ServerResponse): CallerWatch {
    const controller = new AbortController();
    let reason: AbortReason | undefined;
    let timer: NodeJS.Timeout | undefined;
    let pendingAbort: NodeJS.Immediate | undefined;
    const abort = (cause: AbortReason): void => {
        reason ??= cause;
        controller.abort();
    };
    const clearTimeLimit = (): void => {
        clearTimeout(timer);
        clearImmediate(pendingAbort);
    };
    const handleDisconnect = (): void => {
        if (!response.writableFinished) {
            abort("caller-gone");
        }
    };
    // After the caller has ended its half of the connection, the response emits "close" only some event loop iterations
    // later, once this side has ended its half too.
    socket.once("end", handleDisconnect);
    response.once("close", () => {
        clearTimeLimit();
        socket.off("end", handleDisconnect);
        handleDisconnect();
    });
    return {
        signal: controller.signal,
        ended: new Promise(resolve => {
            controller.signal.addEventListener("abort", () => resolve(undefined), { once: true });
        }),
        readReason: () => reason,
        setTimeLimit: (duration, kind) => {
            if (!controller.signal.aborted) {
                timer = setTimeout(() => {
                    // If the event loop was blocked, an answer or a body that arrived in time is read before this runs.
                    pendingAbort = setImmediate(() => abort(kind));
                }, Math.max(0, duration));
            }
        },
        clearTimeLimit,
        endForMemory: () => abort("memory-limit"),
        endDrain: () => abort("shutdown"),
    };
}
