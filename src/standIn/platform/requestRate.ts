import type { Clock } from "../../types/index.js";

/** Rate limit. */
export interface RequestRate {
    /** @returns whether a request is within the limit; it is counted if so */
    take(): boolean;
}

/**
 * Creates a rate limit that lets one second's worth of requests pass as a burst.
 *
 * @param clock - source of time
 * @param requestsPerSecond - the limit; `Infinity` for none
 * @returns the rate limit
 */
export function createRequestRate(clock: Clock, requestsPerSecond: number): RequestRate {
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
