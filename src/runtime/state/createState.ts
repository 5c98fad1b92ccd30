import type { Milliseconds, Offset, RecordKind } from "../../types/index.js";
import { createTable } from "../../utils/index.js";
import type { FoldState } from "./types.js";

/** Default time for which the log keeps records: one day. */
export const defaultRetention: Milliseconds = 86_400_000;

/** Writable view of the state, for the functions of this folder only. */
export type MutableFoldState = { -readonly [Key in keyof FoldState]: FoldState[Key]; };

/**
 * Creates the state before the first log entry.
 *
 * @returns the empty state
 */
export function createFoldState(): FoldState {
    return {
        appliedOffset: 0,
        configurations: createTable(),
        placements: createTable(),
        marks: new Map(),
        unresolved: new Map(),
        truncation: undefined,
        recentIds: new Set(),
        earlierIds: new Set(),
    };
}

/**
 * Creates the key of a chain: the records of one kind for one deployment, each of which is based on the one before.
 *
 * @param kind - kind of its records
 * @param deployment - name of the deployment
 * @returns the key of the chain in `marks` and `unresolved`
 */
export function createChainKey(kind: RecordKind, deployment: string): string {
    return `${kind}/${deployment}`;
}

/**
 * Prepares the state for a log whose oldest entries have expired. The next entry may start at `firstOffset`. From then
 * on a record whose base has expired is accepted only once a later record is based on it. Without a gap between the
 * applied entries and `firstOffset` nothing changes.
 *
 * @param state - the state; changed
 * @param firstOffset - smallest offset that the log still holds
 * @param retention - time for which the log keeps records; default: one day
 */
export function beginAfterTruncation(
    state: FoldState,
    firstOffset: Offset,
    retention: Milliseconds = defaultRetention,
): void {
    if (firstOffset <= state.appliedOffset + 1) {
        return;
    }
    (state as MutableFoldState).truncation = { firstOffset, windowStart: undefined, retention };
}
