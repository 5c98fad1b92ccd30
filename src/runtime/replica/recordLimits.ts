import type { KeyedRecord, KeyedTopic } from "../../types/index.js";

/**
 * Which records are removed first from a topic above its limits: those that were not written for the longest time, where
 * their writers repeat them, or those of the keys that became known last, where a record is written once.
 */
export type EvictionOrder = "least-recently-written" | "newest-key";

/** Limits on the records of a topic that a process keeps. */
export interface TopicLimits {
    /** Size of the largest value that is kept. */
    readonly valueBytes: number;
    readonly records: number;
    /** Bytes of all records, see {@link measureRecord}. */
    readonly bytes: number;
    readonly evictionOrder: EvictionOrder;
}

const bytesPerKibibyte = 1_024;
const bytesPerMebibyte = 1_048_576;

/** Memory of a record beside its key and its value. */
const recordOverheadBytes = 512;

/** Limits by topic: 3,200 backend servers, 360 gateways and a configuration of 1,640 routes take less than half. */
export const topicLimits: Readonly<Record<KeyedTopic, TopicLimits>> = {
    operator: {
        valueBytes: 4 * bytesPerMebibyte,
        records: 4_096,
        bytes: 8 * bytesPerMebibyte,
        evictionOrder: "newest-key",
    },
    "backend-servers": {
        valueBytes: 8 * bytesPerKibibyte,
        records: 4_096,
        bytes: 8 * bytesPerMebibyte,
        evictionOrder: "least-recently-written",
    },
    instances: {
        valueBytes: 4 * bytesPerKibibyte,
        records: 1_024,
        bytes: bytesPerMebibyte,
        evictionOrder: "newest-key",
    },
    "condemned-requests": {
        valueBytes: 16 * bytesPerKibibyte,
        records: 2_048,
        bytes: 2 * bytesPerMebibyte,
        evictionOrder: "least-recently-written",
    },
    "weight-sources": {
        valueBytes: 4 * bytesPerKibibyte,
        records: 512,
        bytes: bytesPerMebibyte,
        evictionOrder: "newest-key",
    },
};

/** Record as the choice of what is evicted sees it. */
export interface EvictableRecord extends KeyedRecord {
    /** Offset at which the current value was written last; higher than `offset` if it was repeated. */
    readonly lastOffset?: number | undefined;
}

/**
 * Computes the memory that a record counts as.
 *
 * @param record - the record
 * @returns its size in bytes
 */
export function measureRecord({ key, value }: KeyedRecord): number {
    return recordOverheadBytes + key.length + (value?.byteLength ?? 0);
}

/** Compares two records; the one that is evicted first comes first. */
type CompareEvicted = (left: EvictableRecord, right: EvictableRecord) => number;

/** Records of an earlier era have not been written since the log was restored, so they come before those of a later one. */
const compareWritten: CompareEvicted = (left, right) =>
    (left.era ?? 0) - (right.era ?? 0) || (left.lastOffset ?? left.offset) - (right.lastOffset ?? right.offset);

/** Sorts records, given in the order in which their keys became known, so that those evicted first come first. */
const sortByEviction: Readonly<Record<EvictionOrder, (records: readonly EvictableRecord[]) => EvictableRecord[]>> = {
    "least-recently-written": records => [...records].sort(compareWritten),
    "newest-key": records => [...records].reverse(),
};

/**
 * Selects the records that a process does not keep, since they exceed the limits of their topic.
 *
 * @param records - records with a value, in the order in which their keys became known
 * @param limits - limits of the topic
 * @param isProtected - selects the keys that are kept in any case. Default: none
 * @returns the records to remove; none within the limits
 */
export function selectExcess(
    records: readonly EvictableRecord[],
    limits: TopicLimits,
    isProtected: (key: string) => boolean = () => false,
): readonly EvictableRecord[] {
    let bytes = records.reduce((sum, record) => sum + measureRecord(record), 0);
    if (records.length <= limits.records && bytes <= limits.bytes) {
        return [];
    }
    const excess: EvictableRecord[] = [];
    for (const record of sortByEviction[limits.evictionOrder](records)) {
        if (records.length - excess.length <= limits.records && bytes <= limits.bytes) {
            break;
        }
        if (!isProtected(record.key)) {
            excess.push(record);
            bytes -= measureRecord(record);
        }
    }
    return excess;
}
