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
    /**
     * Measures the time since a monotonic time. Times are included for which the machine was suspended, which the
     * monotonic clock does not count.
     *
     * @param time - monotonic time
     * @returns the longest time that may have passed
     */
    measureSince(time: Milliseconds): Milliseconds;
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

/** Time that the machine was suspended, or that the wall clock was set forward, between two checks. */
interface Suspension {
    /** Monotonic time of the check that noticed it. */
    readonly noticedAt: Milliseconds;
    readonly duration: Milliseconds;
}

/** Time between two checks from which on the process has stalled. */
const stallThreshold: Milliseconds = 300;
/** Time by which the wall clock advances more than the monotonic clock from which on the machine was suspended. */
const suspensionThreshold: Milliseconds = 300;
/** Number of suspensions that are remembered separately; the oldest two are joined when there are more. */
const maximumSuspensions = 16;
/** Shortest stall that is logged. */
const loggedStall: Milliseconds = 1_000;
/**
 * Shortest time in which data that waited is read. After a longer stall, it is as long as the stall, since senders
 * repeat unacknowledged packets at growing intervals.
 */
const minimumDeliveryTime: Milliseconds = 1_000;
/** Longest time in which data that waited is read, and longest series of stalls that count as one. */
const maximumDeliveryTime: Milliseconds = 5_000;
/** Maximum number of backward steps of the wall clock that are remembered until it returns. */
const maximumBackwardSteps = 4;

function isSameStep(left: Milliseconds, right: Milliseconds): boolean {
    return Math.abs(left - right) <= suspensionThreshold;
}

/**
 * Creates a monitor of the times at which the process does not run.
 *
 * @param input - clock and log
 * @returns the monitor; the process runs at the time of the call
 */
export function createStallMonitor({ clock, logger }: StallMonitorInput): StallMonitor {
    let checkedAt = clock.monotonic();
    let wallCheckedAt = clock.now().getTime();
    let last: Stall | undefined;
    const suspensions: Suspension[] = [];
    /** Durations by which the wall clock was set back, newest last. */
    const backwardSteps: Milliseconds[] = [];

    /**
     * Compares the clocks. The wall clock may also have been set forward, which looks the same and leads to an age that is
     * too high; it is corrected when the clock is set back by as much.
     */
    function readSuspended(passed: Milliseconds): Milliseconds {
        const wall = clock.now().getTime();
        const difference = wall - wallCheckedAt - passed;
        wallCheckedAt = wall;
        if (difference < -suspensionThreshold) {
            recordBackwardStep(-difference);
        }
        return difference > suspensionThreshold && !removeBackwardStep(difference) ? difference : 0;
    }

    function recordBackwardStep(duration: Milliseconds): void {
        const returned = suspensions.findLastIndex(suspension => isSameStep(suspension.duration, duration));
        if (returned >= 0) {
            suspensions.splice(returned, 1);
            return;
        }
        backwardSteps.push(duration);
        backwardSteps.splice(0, backwardSteps.length - maximumBackwardSteps);
    }

    /** Returns true if a forward step returns from an earlier backward one. */
    function removeBackwardStep(duration: Milliseconds): boolean {
        const index = backwardSteps.findLastIndex(step => isSameStep(step, duration));
        return index >= 0 && backwardSteps.splice(index, 1).length > 0;
    }

    function addSuspension(suspension: Suspension): void {
        suspensions.push(suspension);
        if (suspensions.length > maximumSuspensions) {
            const [first, second] = suspensions.splice(0, 2);
            suspensions.unshift({ ...second!, duration: first!.duration + second!.duration });
        }
    }

    function check(): void {
        const now = clock.monotonic();
        const suspended = readSuspended(now - checkedAt);
        const duration = now - checkedAt + suspended;
        if (suspended > 0) {
            addSuspension({ noticedAt: now, duration: suspended });
        }
        if (duration > stallThreshold) {
            const isRepeated = last !== undefined && checkedAt <= last.deliversUntil;
            last = {
                startedAt: isRepeated ?
                    Math.min(checkedAt, Math.max(last!.startedAt, now - maximumDeliveryTime)) :
                    checkedAt,
                endedAt: now,
                deliversUntil: now + Math.min(maximumDeliveryTime, Math.max(minimumDeliveryTime, duration)),
            };
            if (duration >= loggedStall) {
                logger.warn(
                    { durationMilliseconds: Math.round(duration), suspendedMilliseconds: Math.round(suspended) },
                    "process stalled",
                );
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
        measureSince: time => {
            check();
            const later = suspensions.filter(({ noticedAt }) => noticedAt > time);
            return clock.monotonic() - time + later.reduce((sum, { duration }) => sum + duration, 0);
        },
    };
}
