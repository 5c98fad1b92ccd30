import type { Clock } from "../../types/index.js";

/** Limits the rate of requests. */
export interface RateLimiter {
    /** @returns whether a request is within the limit; only such a request is counted */
    take(): boolean;
}

/**
 * Creates a rate limiter that allows a burst of as many requests as the limit allows per second.
 *
 * @param clock - source of time
 * @param requestsPerSecond - the limit; `Infinity` for no limit
 * @returns the rate limiter
 */
export function createRateLimiter(clock: Clock, requestsPerSecond: number): RateLimiter {
    let allowance = requestsPerSecond;
    let updatedAt = clock.monotonic();
    return {
        take: () => {
            if (requestsPerSecond === Infinity) {
                return true;
            }
            const now = clock.monotonic();
            allowance = Math.min(requestsPerSecond, allowance + (now - updatedAt) * requestsPerSecond / 1_000);
            updatedAt = now;
            if (allowance < 1) {
                return false;
            }
            allowance -= 1;
            return true;
        },
    };
}
