import type { Clock, Milliseconds } from "../../types/index.js";

/** Time after which the keys are reported again. */
const reportInterval: Milliseconds = 60_000;
/** Maximum number of keys that are reported in one interval. */
const maximumKeys = 1_000;

/**
 * Creates a limit on reports of keys whose values cannot be read: each key once a minute, and 1,000 keys at most, however
 * many another writer adds and however often it writes them.
 *
 * @param clock - time source
 * @returns function that tells whether a key is to be reported now
 */
export function createReportedKeys(clock: Pick<Clock, "monotonic">): (key: string) => boolean {
    const reported = new Set<string>();
    let startedAt = clock.monotonic();
    return key => {
        const now = clock.monotonic();
        if (now - startedAt >= reportInterval) {
            reported.clear();
            startedAt = now;
        }
        if (reported.has(key) || reported.size >= maximumKeys) {
            return false;
        }
        reported.add(key);
        return true;
    };
}
