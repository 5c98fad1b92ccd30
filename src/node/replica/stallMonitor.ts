import type { Logger } from "pino";
import type { Clock, Milliseconds } from "../../types/index.js";

/** Notices times at which the process did not run, so that data which waited for it meanwhile does not count as new. */
export interface StallMonitor {
    /** Notices a stall that has just ended; must be called at intervals well below {@link stallThreshold}. */
    check(): void;
    /**
     * Computes since when data that is read now can have been on its way.
     *
     * @param requestedAt - monotonic time at which the data was requested. Default: it is sent without a request
     * @returns monotonic time; now, unless the process has just stalled
     */
    computeSentAfter(requestedAt?: Milliseconds): Milliseconds;
}

/** Dependencies of {@link createStallMonitor}. */
export interface StallMonitorInput {
    readonly clock: Clock;
    readonly logger: Logger;
}

interface Stall {
    readonly startedAt: Milliseconds;
    readonly endedAt: Milliseconds;
    /** Monotonic time until which data that was sent during the stall may still be read. */
    readonly deliversUntil: Milliseconds;
}

/** Time between two checks from which on the process has stalled. */
const stallThreshold: Milliseconds = 300;
/** Shortest stall that is logged. */
const loggedStall: Milliseconds = 1_000;
/**
 * Shortest time in which data that waited is read. After a longer stall, it is as long as the stall, since senders
 * repeat unacknowledged packets at growing intervals.
 */
const minimumDeliveryTime: Milliseconds = 1_000;

/**
 * Creates a monitor of the times at which the process does not run.
 *
 * @param input - clock and log
 * @returns the monitor; the process runs at the time of the call
 */
export function createStallMonitor({ clock, logger }: StallMonitorInput): StallMonitor {
    let checkedAt = clock.monotonic();
    let last: Stall | undefined;

    function check(): void {
        const now = clock.monotonic();
        const duration = now - checkedAt;
        if (duration > stallThreshold) {
            const isRepeated = last !== undefined && checkedAt <= last.deliversUntil;
            last = {
                startedAt: isRepeated ? last!.startedAt : checkedAt,
                endedAt: now,
                deliversUntil: now + Math.max(minimumDeliveryTime, duration),
            };
            if (duration >= loggedStall) {
                logger.warn({ durationMilliseconds: Math.round(duration) }, "process stalled");
            }
        }
        checkedAt = now;
    }

    return {
        check,
        computeSentAfter: (requestedAt = -Infinity) => {
            check();
            const now = clock.monotonic();
            const mayHaveWaited = last !== undefined && now <= last.deliversUntil && requestedAt < last.endedAt;
            return mayHaveWaited ? Math.max(last!.startedAt, requestedAt) : now;
        },
    };
}
