import type { Clock, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";

/** Interval at which the requests in progress are counted. */
const requestCountInterval: Milliseconds = 50;

/**
 * Waits until no request is in progress.
 *
 * @param clock - time source
 * @param timeLimit - time after which the wait ends even if requests are left
 * @param countPending - counts the requests that are waiting or in progress
 */
export async function waitUntilIdle(clock: Clock, timeLimit: Milliseconds, countPending: () => number): Promise<void> {
    const endsAt = clock.monotonic() + timeLimit;
    while (countPending() > 0 && clock.monotonic() < endsAt) {
        await sleep(requestCountInterval);
    }
}
