import type { Clock, LogEntry, LogPage, LogRecord, Milliseconds, Offset } from "../../types/index.js";
import { createRequestRate } from "./requestRate.js";

/** Limits of the log. */
export interface LogStoreOptions {
    /** Age after which a record expires. Default: no limit. */
    readonly retentionMilliseconds?: Milliseconds | undefined;
    /** Number of records that are kept. Default: no limit. */
    readonly retentionCount?: number | undefined;
    /** Appends a second that the log takes, also as a burst. Default: 300. */
    readonly appendsPerSecond?: number | undefined;
    /** Difference between successive offsets. Default: 1; others show code that expects no gaps. */
    readonly offsetStep?: number | undefined;
}

/** Append-only log in memory. */
export interface LogStore {
    /**
     * Appends a record.
     *
     * @param record - the record
     * @returns its offset; undefined if the rate limit is exceeded
     */
    append(record: LogRecord): Offset | undefined;
    /**
     * Reads entries.
     *
     * @param afterOffset - offset after which to begin
     * @param limit - largest number of entries
     * @returns the page; an empty log's first offset is the next one
     */
    read(afterOffset: Offset, limit: number): LogPage;
    /**
     * Removes records as retention does.
     *
     * @param beforeOffset - records below it are removed
     */
    truncate(beforeOffset: Offset): void;
}

interface StoredEntry extends LogEntry {
    readonly appendedAt: Milliseconds;
}

/**
 * Creates an empty log.
 *
 * @param clock - source of time
 * @param options - limits
 * @returns the log
 */
export function createLogStore(clock: Clock, options: LogStoreOptions = {}): LogStore {
    const { retentionMilliseconds = Infinity, retentionCount = Infinity } = options;
    const { appendsPerSecond = 300, offsetStep = 1 } = options;
    let entries: StoredEntry[] = [];
    let headOffset = 0;
    const rate = createRequestRate(clock, appendsPerSecond);

    function expire(): void {
        const oldest = clock.monotonic() - retentionMilliseconds;
        const surplus = Math.max(0, entries.length - retentionCount);
        const expired = countLeading(entries, entry => entry.appendedAt < oldest);
        removeOldest(Math.max(surplus, expired));
    }

    function removeOldest(count: number): void {
        if (count > 0) {
            entries = entries.slice(count);
        }
    }

    return {
        append: record => {
            if (!rate.take()) {
                return undefined;
            }
            const offset = headOffset + offsetStep;
            entries.push({ offset, previousOffset: headOffset, record, appendedAt: clock.monotonic() });
            headOffset = offset;
            expire();
            return offset;
        },
        read: (afterOffset, limit) => {
            expire();
            const begin = countLeading(entries, entry => entry.offset <= afterOffset);
            const page = entries
                .slice(begin, begin + limit)
                .map(({ offset, previousOffset, record }) => ({ offset, previousOffset, record }));
            return { firstOffset: entries[0]?.offset ?? headOffset + offsetStep, headOffset, entries: page };
        },
        truncate: beforeOffset => {
            removeOldest(countLeading(entries, entry => entry.offset < beforeOffset));
        },
    };
}

/** Binary search, since hundreds of readers poll a log of up to a day's records. */
function countLeading(entries: readonly StoredEntry[], isLeading: (entry: StoredEntry) => boolean): number {
    let low = 0;
    let high = entries.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (isLeading(entries[middle]!)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
