import type { Clock, Milliseconds, RandomSource } from "../types/index.js";

/**
 * Creates a clock that reads the machine's clocks.
 *
 * @returns the clock
 */
export function createSystemClock(): Clock {
    return {
        now: () => new Date(),
        // The time of hrtime in whole microseconds; its form with a bigint costs several times as much.
        monotonic: () => {
            const [seconds, nanoseconds] = process.hrtime();
            return (seconds * 1_000_000 + Math.floor(nanoseconds / 1_000)) / 1_000;
        },
    };
}

/** Clock that only advances on request. */
export interface ManualClock extends Clock {
    /**
     * Advances the wall-clock time and the monotonic time.
     *
     * @param duration - milliseconds to add
     */
    advance(duration: Milliseconds): void;
}

/**
 * Creates a clock for tests, state explorations and benchmarks.
 *
 * @param start - wall-clock time at which the clock starts; default: 2026-01-01T00:00:00Z
 * @returns the clock
 */
export function createManualClock(start: Date = new Date("2026-01-01T00:00:00Z")): ManualClock {
    let elapsed = 0;
    return {
        now: () => new Date(start.getTime() + elapsed),
        monotonic: () => elapsed,
        advance: duration => {
            elapsed += duration;
        },
    };
}

/**
 * Creates a pseudorandom source (mulberry32), which returns the same sequence for the same seed.
 *
 * @param seed - any 32-bit integer
 * @returns the random source
 */
export function createSeededRandom(seed: number): RandomSource {
    let state = seed | 0;
    return {
        next: () => {
            state = (state + 0x6D2B79F5) | 0;
            let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
            mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
            return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
        },
    };
}

/**
 * Creates a random source with an unpredictable sequence.
 *
 * @returns the random source
 */
export function createSystemRandom(): RandomSource {
    return { next: () => Math.random() };
}
