import type { Clock, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";

/** Time between two looks at the requests in progress. */
const checkInterval: Milliseconds = 50;

/**
 * Waits until no request is in progress.
 *
 * @param clock - time
 * @param timeLimit - time after which the wait ends in any case
 * @param countOpen - counts the requests that are waiting or in progress
 */
export async function waitUntilIdle(clock: Clock, timeLimit: Milliseconds, countOpen: () => number): Promise<void> {
    const endsAt = clock.monotonic() + timeLimit;
    while (countOpen() > 0 && clock.monotonic() < endsAt) {
        await sleep(checkInterval);
    }
}
