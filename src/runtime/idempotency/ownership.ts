import type { InstanceId, Milliseconds, PlacementRow } from "../../types/index.js";
import { resolveKeyOwner } from "./keys.js";
import type { OwnershipHistory, OwnershipPeriod } from "./types.js";

/**
 * Most periods that are kept. If an older one would be needed to prove ownership of a key, the key is refused as
 * `unknown`, which is safe.
 */
const maximumOwnershipPeriods = 64;

/**
 * Creates the ownership history of a process that knows no owners yet.
 *
 * @param self - instance of this process
 * @param startedAt - wall-clock start of this process in milliseconds since 1970
 * @returns an empty history
 */
export function createOwnershipHistory(self: InstanceId, startedAt: Milliseconds): OwnershipHistory {
    return { self, startedAt, periods: [], interruptedAt: 0 };
}

function areOwnersEqual(left: readonly InstanceId[] | undefined, right: readonly InstanceId[] | undefined): boolean {
    if (left === undefined || right === undefined) {
        return left === right;
    }
    return left.length === right.length && left.every((owner, index) => owner === right[index]);
}

function readWrittenAt(placement: PlacementRow): Milliseconds {
    const time = Date.parse(placement.writtenAt);
    return Number.isNaN(time) ? 0 : time;
}

/**
 * Records the owners of a placement. It has to be called for each accepted placement record in order, in the same
 * synchronous step in which the record is applied: a skipped record could hide an interruption of ownership.
 *
 * @param history - history to change
 * @param placement - newest placement; ignored if it is not newer than the last one that was recorded
 * @param now - wall-clock time in milliseconds since 1970
 */
export function recordOwners(history: OwnershipHistory, placement: PlacementRow, now: Milliseconds): void {
    const last = history.periods.at(-1);
    if (last !== undefined && placement.offset <= last.placementOffset) {
        return;
    }
    const isUnchanged = last !== undefined && areOwnersEqual(last.owners, placement.owners) &&
        areOwnersEqual(last.nextOwners, placement.nextOwners);
    const period: OwnershipPeriod = {
        placementOffset: placement.offset,
        owners: placement.owners,
        nextOwners: placement.nextOwners,
        appliedAt: isUnchanged ? last.appliedAt : now,
        writtenAt: isUnchanged ? last.writtenAt : readWrittenAt(placement),
    };
    if (isUnchanged) {
        history.periods.pop();
    }
    history.periods.push(period);
    if (history.periods.length > maximumOwnershipPeriods) {
        history.periods.shift();
    }
}

/**
 * Records that other processes may have owned keys up to now: the hold has lapsed, or the state was copied from a peer
 * without the records in between.
 *
 * @param history - history to change
 * @param now - wall-clock time in milliseconds since 1970
 */
export function recordInterruption(history: OwnershipHistory, now: Milliseconds): void {
    history.interruptedAt = Math.max(history.interruptedAt, now);
}

function acceptsKey(period: OwnershipPeriod, self: InstanceId, key: string): boolean {
    if (resolveKeyOwner(period.owners, key) !== self) {
        return false;
    }
    // During a change of owners, the old owner may not have stopped yet, and the new one may have begun already.
    return period.nextOwners === undefined || resolveKeyOwner(period.nextOwners, key) === self;
}

/** Result of `evaluateOwnership`. */
export interface KeyOwnership {
    /** True if the key is owned under the newest placement. */
    readonly owned: boolean;
    /**
     * True if the key was owned without interruption from before its creation until now or, if it is no longer owned,
     * until a record that was written after its creation.
     */
    readonly sinceCreation: boolean;
}

/**
 * Evaluates whether this process owns a key and has owned it since before the key was created.
 *
 * @param history - ownership history
 * @param key - idempotency key
 * @param createdAt - creation time in the key, in milliseconds since 1970
 * @param skew - largest assumed difference between two clocks
 * @returns ownership under the newest placement, and since the key's creation
 */
export function evaluateOwnership(
    history: OwnershipHistory,
    key: string,
    createdAt: Milliseconds,
    skew: Milliseconds,
): KeyOwnership {
    // Times are rounded to milliseconds, so equal times do not tell which event was first.
    const latestStart = createdAt - skew;
    const { periods, self } = history;
    const newest = periods.at(-1);
    const owned = newest !== undefined && acceptsKey(newest, self, key);
    if (history.startedAt >= latestStart || history.interruptedAt >= latestStart) {
        return { owned, sinceCreation: false };
    }
    let index = periods.length - 1;
    if (!owned) {
        index = findLastOwnedPeriod(history, key, createdAt + skew);
    }
    while (index >= 0 && acceptsKey(periods[index]!, self, key)) {
        if (periods[index]!.appliedAt < latestStart) {
            return { owned, sinceCreation: true };
        }
        index -= 1;
    }
    return { owned, sinceCreation: false };
}

/**
 * Finds the last period in which the key was owned, if the record that ended it was written after the latest time at
 * which the key can have been created. Later owners then refuse the key, because it was created before they became
 * owners. `writtenAt` is compared instead of `appliedAt`, because a network partition may have delayed the record until
 * after the later owner began to accept keys.
 *
 * @returns index of the period; -1 if there is none
 */
function findLastOwnedPeriod(history: OwnershipHistory, key: string, latestCreation: Milliseconds): number {
    const { periods, self } = history;
    for (let index = periods.length - 1; index >= 1; index--) {
        if (periods[index]!.writtenAt <= latestCreation) {
            return -1;
        }
        if (acceptsKey(periods[index - 1]!, self, key)) {
            return index - 1;
        }
    }
    return -1;
}
