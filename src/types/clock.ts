import type { Milliseconds } from "./identifiers.js";

/** Source of time that is passed to everything that depends on time. */
export interface Clock {
    /** Wall-clock time; it may jump. */
    now(): Date;
    /** Milliseconds on a clock that never goes back and keeps counting while the process is stopped. */
    monotonic(): Milliseconds;
}

/** Source of randomness that is passed to everything that makes random choices. */
export interface RandomSource {
    /** Returns a number in [0, 1). */
    next(): number;
}
