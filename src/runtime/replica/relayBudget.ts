/** Bytes of records that a relay has written, and that the connections of its followers have not taken yet. */
export interface UnsentRecords {
    /** Of the follower that a batch is for. */
    readonly follower: number;
    /** Of all followers together. */
    readonly total: number;
}

/** Size up to which a follower gets a batch whatever the other followers have not received. */
export const smallBatchBytes = 65_536;

/**
 * Decides whether a relay writes a batch to a follower now. Followers that read slowly would otherwise make it hold all
 * records once for each of them. A large batch waits until the follower has received the earlier ones and until there is
 * room for it; one that is larger than the limit is written alone.
 *
 * @param batchBytes - bytes of the records of the batch
 * @param unsent - what was not received yet
 * @param maximumUnsentBytes - limit for all followers together, beside small batches
 * @returns true if it is written now
 */
export function mayWriteBatch(batchBytes: number, unsent: UnsentRecords, maximumUnsentBytes: number): boolean {
    if (unsent.follower + batchBytes <= smallBatchBytes) {
        return true;
    }
    return unsent.follower === 0 && (unsent.total === 0 || unsent.total + batchBytes <= maximumUnsentBytes);
}
