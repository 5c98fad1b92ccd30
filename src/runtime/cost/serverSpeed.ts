import type { Milliseconds } from "../../types/index.js";

/** How long work takes at a backend server in comparison with others: 1 is as usual, 2 is twice as long. */
export interface ServerSpeed {
    /** Logarithm of the mean of the slowdowns that its answers stated. */
    stated: number;
    /** Monotonic time of the newest statement. */
    statedAt: Milliseconds;
    /** Logarithm of the mean ratio of observed to expected times to the first event, relative to the service. */
    learned: number;
    /** Monotonic time of the newest observation. */
    learnedAt: Milliseconds;
}

/** Largest factor by which a backend server counts as slower or faster, whatever it states and however it behaves. */
const maximumLog = Math.log(4);

/** Weight of a new statement. A single one is taken many times a second and reflects the last step only. */
const statedWeight = 0.5;

/**
 * Time in which a statement loses half of its weight in favor of 1. A hundred gateways in front of 36 backend servers hear
 * from each of them every 10 to 20 s; with 3 s, nothing was known of most of them at any time.
 */
const statedHalfLife: Milliseconds = 20_000;

/** Weight of a new observation; a single time to the first event also depends on what else the engine reads. */
const learnedWeight = 0.2;

/** Time in which an observation loses half of its weight, so that a server that has become fast is used again. */
const learnedHalfLife: Milliseconds = 30_000;

function bound(log: number): number {
    return Math.min(maximumLog, Math.max(-maximumLog, log));
}

function decay(value: number, age: Milliseconds, halfLife: Milliseconds): number {
    return value === 0 ? 0 : value * 2 ** (-Math.max(0, age) / halfLife);
}

/**
 * Creates the speed of a backend server of which nothing is known.
 *
 * @returns the usual speed
 */
export function createServerSpeed(): ServerSpeed {
    return { stated: 0, statedAt: -Infinity, learned: 0, learnedAt: -Infinity };
}

/**
 * Records the slowdown that an answer states.
 *
 * @param speed - speed to change
 * @param slowdown - stated slowdown; ignored unless positive, and bounded to 0.25 to 4
 * @param now - monotonic time
 */
export function recordSlowdown(speed: ServerSpeed, slowdown: number | undefined, now: Milliseconds): void {
    if (slowdown === undefined || !Number.isFinite(slowdown) || slowdown <= 0) {
        return;
    }
    const known = decay(speed.stated, now - speed.statedAt, statedHalfLife);
    // Without a recent statement, the new one counts in full.
    const knownWeight = (1 - statedWeight) * 2 ** (-(now - speed.statedAt) / statedHalfLife);
    speed.stated = knownWeight * known + (1 - knownWeight) * bound(Math.log(slowdown));
    speed.statedAt = now;
}

/**
 * Records a time to the first event.
 *
 * @param speed - speed to change
 * @param logRatio - logarithm of the ratio of observed to expected time, relative to the mean of the service
 * @param now - monotonic time
 */
export function recordRatio(speed: ServerSpeed, logRatio: number, now: Milliseconds): void {
    const known = decay(speed.learned, now - speed.learnedAt, learnedHalfLife);
    speed.learned = bound(known + learnedWeight * (bound(logRatio) - known));
    speed.learnedAt = now;
}

/**
 * Computes the factor on the times of a backend server.
 *
 * @param speed - its speed; undefined if nothing is known of it
 * @param now - monotonic time
 * @returns `stated`: by its statements; `total`: also corrected by observed times. Both are between 0.25 and 4
 */
export function computeSlowdown(
    speed: ServerSpeed | undefined,
    now: Milliseconds,
): { readonly stated: number; readonly total: number; } {
    if (speed === undefined) {
        return { stated: 1, total: 1 };
    }
    const stated = decay(speed.stated, now - speed.statedAt, statedHalfLife);
    const learned = decay(speed.learned, now - speed.learnedAt, learnedHalfLife);
    return { stated: Math.exp(stated), total: Math.exp(bound(stated + learned)) };
}
