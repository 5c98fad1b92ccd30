import type { Clock, Milliseconds } from "../../types/index.js";

/** When a call ends because its peer is silent. */
export interface SilenceLimit {
    /** Time without a byte; `Infinity` for no limit. */
    readonly after: Milliseconds;
    /** Tells whether the call ends; if not, it is asked again after the same time. */
    readonly mayEnd: () => boolean;
}

/** Running watch of a call. */
export interface SilenceWatch {
    /** Records that bytes have arrived. */
    heard(): void;
    /** Ends the watch. */
    end(): void;
}

/**
 * Watches a call for a time without a byte from its peer.
 *
 * @param limit - when the call ends
 * @param clock - time source
 * @param onSilent - ends the call
 * @returns the running watch
 */
export function watchSilence(
    { after, mayEnd }: SilenceLimit,
    clock: Pick<Clock, "monotonic">,
    onSilent: () => void,
): SilenceWatch {
    let timer: NodeJS.Timeout | undefined;
    let pendingCheck: NodeJS.Immediate | undefined;
    let heardAt = clock.monotonic();

    function check(): void {
        const left = heardAt + after - clock.monotonic();
        if (left > 0) {
            schedule(left);
        }
        else if (mayEnd()) {
            onSilent();
        }
        else {
            schedule(after);
        }
    }

    function schedule(delay: Milliseconds): void {
        timer = setTimeout(() => {
            // If the event loop was blocked, data that arrived in time is read before this callback runs.
            pendingCheck = setImmediate(check);
        }, delay);
    }

    if (after !== Infinity) {
        schedule(after);
    }
    return {
        heard: () => {
            heardAt = clock.monotonic();
        },
        end: () => {
            clearTimeout(timer);
            clearImmediate(pendingCheck);
        },
    };
}
