import type { InstanceId } from "../../types/index.js";
import { createRendezvousScore } from "../../utils/index.js";

/**
 * Ranks an entry instance among the proposers of the deployments of a pool.
 *
 * @param pool - pool of the deployment
 * @param self - the entry instance
 * @param entries - live entry instances; `self` is ranked even if it is not among them
 * @returns number of entry instances that rank before `self`
 */
export function rankProposer(pool: string, self: InstanceId, entries: Iterable<InstanceId>): number {
    const computeScore = createRendezvousScore(pool);
    const ownScore = computeScore(self);
    let rank = 0;
    for (const entry of entries) {
        const score = computeScore(entry);
        if (score > ownScore || (score === ownScore && entry < self)) {
            rank++;
        }
    }
    return rank;
}
