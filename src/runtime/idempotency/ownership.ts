import type { InstanceId, Milliseconds, PlacementRow } from "../../types/index.js";
import { resolveKeyOwner } from "./keys.js";
import type { OwnershipHistory, OwnershipPeriod } from "./types.js";

/** Periods kept; a dropped period only makes older keys `unknown`, which is safe. */
const maximumPeriods = 64;

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

function equalOwners(left: readonly InstanceId[] | undefined, right: readonly InstanceId[] | undefined): boolean {
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
 * Records the owners that a placement names. It has to be called for each accepted placement record in order, in the
 * same step in which the record is applied: a record that is left out could hide an interruption of ownership.
 *
 * @param history - history to change
 * @param placement - newest placement; one that is not newer than the last recorded is ignored
 * @param now - wall-clock time in milliseconds since 1970
 */
export function recordOwners(history: OwnershipHistory, placement: PlacementRow, now: Milliseconds): void {
    const last = history.periods.at(-1);
    if (last !== undefined && placement.offset <= last.placementOffset) {
        return;
    }
    const unchanged = last !== undefined && equalOwners(last.owners, placement.owners) &&
        equalOwners(last.nextOwners, placement.nextOwners);
    const period: OwnershipPeriod = {
        placementOffset: placement.offset,
        owners: placement.owners,
        nextOwners: placement.nextOwners,
        appliedAt: unchanged ? last.appliedAt : now,
        writtenAt: unchanged ? last.writtenAt : readWrittenAt(placement),
    };
    if (unchanged) {
        history.periods.pop();
    }
    history.periods.push(period);
    if (history.periods.length > maximumPeriods) {
        history.periods.shift();
    }
}

/**
 * Records that other processes may have owned keys up to now: the hold had lapsed, or the state was taken over from a
 * peer without the records in between.
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
    // While both sets apply, the other owner may not have stopped yet or may have begun already.
    return period.nextOwners === undefined || resolveKeyOwner(period.nextOwners, key) === self;
}

/** What a process knows of its ownership of one key. */
export interface KeyOwnership {
    /** True if the key is owned under the newest placement. */
    readonly owned: boolean;
    /** True if the key was owned without interruption from before its creation until now or, if it is no longer owned,
     * until a record that was written after its creation. */
    readonly sinceCreation: boolean;
}

/**
 * Evaluates whether this process owns a key and has owned it since before the key was created.
 *
 * @param history - ownership history
 * @param key - idempotency key
 * @param createdAt - time of the key in milliseconds since 1970
 * @param skew - difference between clocks that is allowed for
 * @returns ownership under the newest placement and since the key's creation
 */
export function evaluateOwnership(
    history: OwnershipHistory,
    key: string,
    createdAt: Milliseconds,
    skew: Milliseconds,
): KeyOwnership {
    // Times are rounded to milliseconds, so equal times prove no order.
    const latestStart = createdAt - skew;
    const { periods, self } = history;
    const newest = periods.at(-1);
    const owned = newest !== undefined && acceptsKey(newest, self, key);
    if (history.startedAt >= latestStart || history.interruptedAt >= latestStart) {
        return { owned, sinceCreation: false };
    }
    let index = periods.length - 1;
    if (!owned) {
        index = findLastOwned(history, key, createdAt + skew);
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
 * Finds the last period in which the key was owned, if the record that ended it was written after the key was certainly
 * created. A later owner then refuses the key, because the key was created before that owner began. The time at which
 * this process applied the record does not count: a partition may have delayed it until the later owner had begun.
 */
function findLastOwned(history: OwnershipHistory, key: string, latestCreation: Milliseconds): number {
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
