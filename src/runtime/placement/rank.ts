import type { InstanceId } from "../../types/index.js";
import { createRendezvousScore } from "../../utils/index.js";

/**
 * Ranks an entry instance among the proposers of the deployments of a pool.
 *
 * @param pool - pool of the deployment
 * @param self - the entry instance
 * @param entries - live entry instances; `self` counts even if it is missing
 * @returns number of entry instances that come first; 0 for the first
 */
export function rankProposer(pool: string, self: InstanceId, entries: Iterable<InstanceId>): number {
    const readScore = createRendezvousScore(pool);
    const ownScore = readScore(self);
    let rank = 0;
    for (const entry of entries) {
        const score = readScore(entry);
        if (score > ownScore || (score === ownScore && entry < self)) {
            rank++;
        }
    }
    return rank;
}
