import {
    createFoldState,
    exportSnapshot,
    foldEntry,
    type FoldState,
    importSnapshot,
    type StateSnapshot,
} from "../../runtime/state/index.js";
import type { LogEntry, Milliseconds, Offset } from "../../types/index.js";

/** Recent entries that are kept for followers that lag; a follower that lags further gets a snapshot. */
const maximumRecentEntries = 2_000;
/** Bound on the copies in all recent entries, since a placement record lists every copy: 305 bytes each, about 6 MB. */
const maximumRecentCopies = 20_000;
/** Newest entries that are kept regardless of their size, so that a follower that lags slightly needs no snapshot. */
const minimumRecentEntries = 16;

/** State that a process has derived from the log, and the time at which it was complete. */
export interface StateStore {
    readonly state: FoldState;
    /** Latest monotonic time at which the state was known to include the whole log; undefined until then. */
    readonly logKnownAt: Milliseconds | undefined;
    /** True once the state has included the whole log. */
    readonly ready: boolean;
    /**
     * Applies entries; those that were applied before are skipped.
     *
     * @param entries - entries in offset order
     * @returns `gap` if an entry does not follow the last applied one
     */
    applyEntries(entries: readonly LogEntry[]): "applied" | "gap";
    /**
     * Replaces the state with the newer state of a peer.
     *
     * @param snapshot - the peer's state
     * @returns false if the snapshot is not newer or its digest does not match
     */
    adoptSnapshot(snapshot: StateSnapshot): boolean;
    /**
     * Records that the state included the whole log at a time.
     *
     * @param at - monotonic time; ignored if it is not later than the recorded one
     */
    recordLogKnown(at: Milliseconds): void;
    /**
     * Lists entries for a follower.
     *
     * @param offset - last offset that the follower has applied
     * @returns the entries after it, or undefined if a snapshot is needed
     */
    entriesAfter(offset: Offset): readonly LogEntry[] | undefined;
    /** @returns the state as a snapshot for a peer */
    takeSnapshot(): StateSnapshot;
    /**
     * Calls a listener for each entry, right after it was applied and before the next one is applied.
     *
     * @param listener - gets the entry
     */
    onEntry(listener: (entry: LogEntry) => void): void;
    /**
     * Calls a listener after each change of the state.
     *
     * @param listener - gets the entries that were applied; empty after a snapshot
     */
    onChange(listener: (entries: readonly LogEntry[]) => void): void;
}

function countCopies({ record }: LogEntry): number {
    // A malformed record, which other writers may append, need not have any.
    return record.kind === "placement" && Array.isArray(record.copies) ? record.copies.length : 0;
}

/** Counts the oldest entries that have to be dropped to stay within the limits. */
function countExcess(entries: readonly LogEntry[]): number {
    let copies = 0;
    let kept = 0;
    for (const entry of [...entries].reverse()) {
        copies += countCopies(entry);
        if (kept >= maximumRecentEntries || (kept >= minimumRecentEntries && copies > maximumRecentCopies)) {
            break;
        }
        kept += 1;
    }
    return entries.length - kept;
}

/**
 * Creates an empty store.
 *
 * @returns the store
 */
export function createStateStore(): StateStore {
    let state = createFoldState();
    let logKnownAt: Milliseconds | undefined;
    let recent: LogEntry[] = [];
    // The offset before the first recent entry; followers at or after it can be served with entries.
    let recentBaseOffset: Offset = 0;
    const entryListeners: ((entry: LogEntry) => void)[] = [];
    const listeners: ((entries: readonly LogEntry[]) => void)[] = [];

    function notify(entries: readonly LogEntry[]): void {
        for (const listener of listeners) {
            listener(entries);
        }
    }

    function appendRecent(entries: readonly LogEntry[]): void {
        const { previousOffset } = entries[0]!;
        if (previousOffset !== (recent.at(-1)?.offset ?? recentBaseOffset)) {
            // The log has lost the records in between, so followers from before the gap need a snapshot.
            recent = [];
            recentBaseOffset = previousOffset;
        }
        recent.push(...entries);
        const dropped = countExcess(recent);
        if (dropped > 0) {
            recentBaseOffset = recent[dropped - 1]!.offset;
            recent = recent.slice(dropped);
        }
    }

    return {
        get state() {
            return state;
        },
        get logKnownAt() {
            return logKnownAt;
        },
        get ready() {
            return logKnownAt !== undefined;
        },
        applyEntries: entries => {
            const applied: LogEntry[] = [];
            let outcome: "applied" | "gap" = "applied";
            for (const entry of entries) {
                if (entry.offset <= state.appliedOffset) {
                    continue;
                }
                if (foldEntry(state, entry) === "out-of-order") {
                    outcome = "gap";
                    break;
                }
                applied.push(entry);
                entryListeners.forEach(listener => listener(entry));
            }
            if (applied.length > 0) {
                appendRecent(applied);
                notify(applied);
            }
            return outcome;
        },
        adoptSnapshot: snapshot => {
            if (snapshot.appliedOffset <= state.appliedOffset) {
                return false;
            }
            const imported = importSnapshot(snapshot);
            if (imported.isErr) {
                return false;
            }
            state = imported.value;
            recent = [];
            recentBaseOffset = state.appliedOffset;
            notify([]);
            return true;
        },
        recordLogKnown: at => {
            if (logKnownAt === undefined || at > logKnownAt) {
                logKnownAt = at;
            }
        },
        entriesAfter: offset => {
            if (offset < recentBaseOffset) {
                return undefined;
            }
            return recent.filter(entry => entry.offset > offset);
        },
        takeSnapshot: () => exportSnapshot(state),
        onEntry: listener => {
            entryListeners.push(listener);
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
}
