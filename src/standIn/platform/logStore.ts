import type { Clock, LogEntry, LogPage, LogRecord, Milliseconds, Offset } from "../../types/index.js";
import { createRateLimiter } from "./rateLimiter.js";

/** Options of the log. */
export interface LogStoreOptions {
    /** Age after which a record is removed. Default: no limit. */
    readonly retentionMilliseconds?: Milliseconds | undefined;
    /** Number of newest records that are kept. Default: no limit. */
    readonly retentionCount?: number | undefined;
    /** Appends that the log accepts per second, and the size of a burst. Default: 300. */
    readonly appendsPerSecond?: number | undefined;
    /** Difference between successive offsets. Default: 1; a larger one reveals code that expects offsets without gaps. */
    readonly offsetStep?: number | undefined;
}

/** Append-only log that is kept in memory. */
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
     * @param afterOffset - only entries with larger offsets are read
     * @param limit - maximum number of entries
     * @returns the page; the first offset of an empty log is the one that the next record gets
     */
    read(afterOffset: Offset, limit: number): LogPage;
    /**
     * Removes the oldest records, as retention does.
     *
     * @param beforeOffset - records with smaller offsets are removed
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
 * @param options - retention, rate limit and offset step
 * @returns the log
 */
export function createLogStore(clock: Clock, options: LogStoreOptions = {}): LogStore {
    const { retentionMilliseconds = Infinity, retentionCount = Infinity } = options;
    const { appendsPerSecond = 300, offsetStep = 1 } = options;
    let entries: StoredEntry[] = [];
    let headOffset = 0;
    const rateLimiter = createRateLimiter(clock, appendsPerSecond);

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
            if (!rateLimiter.take()) {
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

/** Binary search, since hundreds of readers poll a log that holds up to a day of records. */
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
