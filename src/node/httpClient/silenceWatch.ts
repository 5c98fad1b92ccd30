import type { Clock, Milliseconds } from "../../types/index.js";

/** When a peer counts as silent during a call. */
export interface SilenceLimit {
    /** Time without a byte; `Infinity` for no limit. */
    readonly after: Milliseconds;
    /**
     * Called when the peer has been silent for that time, and again each time it has been for as long again. The call
     * continues.
     *
     * @param silence - time since the last byte
     */
    readonly onSilent: (silence: Milliseconds) => void;
}

/** Running watch of a call. */
export interface SilenceWatch {
    /** Records that bytes have arrived. */
    heard(): void;
    /** @returns the longest time without a byte before the last one that arrived */
    readLongest(): Milliseconds;
    /** Ends the watch. */
    end(): void;
}

/**
 * Watches a call for a time without a byte from its peer.
 *
 * @param limit - when the peer counts as silent
 * @param clock - time source
 * @returns the running watch
 */
export function watchSilence({ after, onSilent }: SilenceLimit, clock: Pick<Clock, "monotonic">): SilenceWatch {
    let timer: NodeJS.Timeout | undefined;
    let pendingCheck: NodeJS.Immediate | undefined;
    let heardAt = clock.monotonic();
    let longest: Milliseconds = 0;

    function check(): void {
        const silence = clock.monotonic() - heardAt;
        if (silence < after) {
            schedule(after - silence);
        }
        else {
            schedule(after);
            onSilent(silence);
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
            const now = clock.monotonic();
            longest = Math.max(longest, now - heardAt);
            heardAt = now;
        },
        readLongest: () => longest,
        end: () => {
            clearTimeout(timer);
            clearImmediate(pendingCheck);
        },
    };
}
