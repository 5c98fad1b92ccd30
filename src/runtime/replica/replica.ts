import type { KeyedPage, KeyedRecord, KeyedTopic, LogEra, Milliseconds, Offset } from "../../types/index.js";
import { type MissingAfterRestore, missingAfterRestore, supersedes } from "./restore.js";

/** Record with the era in which it was read. */
export interface KnownRecord extends KeyedRecord {
    readonly era: LogEra;
}

/** What a process knows of one topic. */
export interface ReplicaTopic {
    /** Record of each key with which it took its newest value; keys that were dropped stay without a value. */
    readonly records: Map<string, KnownRecord>;
    /** Era of the offsets. Records of an earlier one are in force until they are written again or superseded. */
    era: LogEra;
    /** Offset of the first record that is not known; everything before it is. */
    nextOffset: Offset;
    /** Monotonic time at which the knowledge was current; undefined before the first page. */
    currentAt: Milliseconds | undefined;
    /** Grows with each change of the records of earlier eras, which offsets do not order. */
    carriedChanges: number;
    readonly missing: MissingAfterRestore;
}

/** Copy of keyed topics in one process. */
export interface Replica {
    readonly topics: ReadonlyMap<KeyedTopic, ReplicaTopic>;
}

/** Records that were merged, and the time at which they were current. */
export interface MergeInput {
    readonly page: KeyedPage;
    /** True if keys that the page does not list were dropped. */
    readonly complete: boolean;
    /** Monotonic time at which the sender's knowledge was current. */
    readonly currentAt: Milliseconds;
}

/** Position up to which a follower knows a topic. */
export interface ReplicaPosition {
    readonly era: LogEra;
    readonly nextOffset: Offset;
    /** Value of {@link ReplicaTopic.carriedChanges} up to which it was told; undefined if it was told nothing yet. */
    readonly carriedChanges: number | undefined;
}

/** Dropped keys that are remembered in a topic; the oldest are forgotten first. */
const maximumDroppedKeys = 1_000;

/**
 * Creates an empty replica.
 *
 * @param topics - topics that it holds
 * @returns the replica
 */
export function createReplica(topics: readonly KeyedTopic[]): Replica {
    return {
        topics: new Map(
            topics.map(topic => [topic, {
                records: new Map(),
                era: 0,
                nextOffset: 0,
                currentAt: undefined,
                carriedChanges: 0,
                missing: missingAfterRestore[topic],
            }]),
        ),
    };
}

function isSameValue(left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
    return left === undefined || right === undefined ? left === right : Buffer.compare(left, right) === 0;
}

function isCarried(topic: ReplicaTopic, record: KnownRecord): boolean {
    return record.era < topic.era;
}

function listDropped(topic: ReplicaTopic, { page }: MergeInput): KnownRecord[] {
    const listed = new Set(page.records.map(({ key }) => key));
    return [...topic.records.values()]
        .filter(record => !listed.has(record.key) && record.value !== undefined)
        .filter(record => topic.missing === "drop" || !isCarried(topic, record))
        .map(({ key, order }) => ({ key, value: undefined, offset: page.nextOffset - 1, era: topic.era, order }));
}

function forgetOldestDropped(topic: ReplicaTopic): void {
    const dropped = [...topic.records.values()].filter(({ value }) => value === undefined);
    for (const { key } of dropped.sort((left, right) => left.offset - right.offset).slice(0, -maximumDroppedKeys)) {
        topic.records.delete(key);
    }
}

/** Stores a record; returns true if it says something new. */
function store(topic: ReplicaTopic, record: KnownRecord): boolean {
    const previous = topic.records.get(record.key);
    const isChanged = !isSameValue(previous?.value, record.value);
    if (!isChanged && (previous === undefined || previous.era >= record.era)) {
        return false;
    }
    // The content that was dropped tells which later one is newer.
    const order = record.order ?? (record.value === undefined ? previous?.order : undefined);
    topic.records.set(record.key, { ...record, order });
    if (isCarried(topic, record) || (previous !== undefined && isCarried(topic, previous))) {
        topic.carriedChanges++;
    }
    return isChanged;
}

/** Merges a record that the sender has from an earlier era and that its log has not confirmed. */
function mergeCarried(topic: ReplicaTopic, record: KnownRecord, nextOffset: Offset): boolean {
    const previous = topic.records.get(record.key);
    if (previous === undefined) {
        return store(topic, record);
    }
    // The sender has not seen a record that lies behind its position.
    const isUnseen = !isCarried(topic, previous) && previous.offset >= nextOffset;
    return !isUnseen && !isSameValue(previous.value, record.value) && supersedes(record, previous) &&
        store(topic, record);
}

function mergeInOrder(topic: ReplicaTopic, record: KnownRecord, known: Offset): boolean {
    const previous = topic.records.get(record.key);
    if (record.offset < known) {
        return false;
    }
    const isOlder = previous?.value !== undefined && record.value !== undefined && isCarried(topic, previous) &&
        !isSameValue(previous.value, record.value) && !supersedes(record, previous);
    return !isOlder && store(topic, record);
}

/** Merges all records of a log that was restored from an older copy: what is newer than the copy stays in force. */
function mergeRestored(topic: ReplicaTopic, input: MergeInput, era: LogEra): KnownRecord[] {
    const { page } = input;
    topic.era = era;
    topic.nextOffset = page.nextOffset;
    topic.carriedChanges++;
    const dropped = topic.missing === "drop" ? listDropped(topic, input) : [];
    const taken = page.records.map(record => ({ ...record, era: record.era ?? era })).filter(record => {
        const previous = topic.records.get(record.key);
        return previous === undefined || isSameValue(previous.value, record.value) || supersedes(record, previous);
    });
    return [...dropped, ...taken].filter(record => store(topic, record));
}

/**
 * Merges records into a topic. Pages of several senders may arrive in any order: what lies before the position that is
 * known already is older than the knowledge and is left out. A record that repeats the known value leaves it as it is,
 * so that it is not relayed again. A page of an earlier era is left out, and one of a later era as well if it is not
 * complete.
 *
 * @param topic - topic to change
 * @param input - records and their time
 * @returns the records that changed what is known of their key
 */
export function mergePage(topic: ReplicaTopic, input: MergeInput): readonly KeyedRecord[] {
    const { complete, currentAt, page } = input;
    const era = page.era ?? 0;
    if (era < topic.era || (era > topic.era && !complete)) {
        return [];
    }
    const isFirst = topic.currentAt === undefined;
    topic.currentAt = Math.max(topic.currentAt ?? currentAt, currentAt);
    let changed: KnownRecord[];
    if (era > topic.era && !isFirst) {
        changed = mergeRestored(topic, input, era);
    }
    else {
        topic.era = era;
        const known = topic.nextOffset;
        const dropped = complete && page.nextOffset > known ? listDropped(topic, input) : [];
        const records = [...dropped, ...page.records.map(record => ({ ...record, era: record.era ?? era }))];
        changed = records.filter(record =>
            isCarried(topic, record) ?
                mergeCarried(topic, record, page.nextOffset) :
                mergeInOrder(topic, record, known)
        );
        topic.nextOffset = Math.max(known, page.nextOffset);
    }
    if (changed.length > 0) {
        forgetOldestDropped(topic);
    }
    return changed;
}

/**
 * Selects what a follower does not know yet. Records of earlier eras are sent to each follower, whatever its position,
 * and so are keys that were dropped in one: the restored log may list them again.
 *
 * @param topic - topic that is relayed
 * @param position - position of the follower
 * @returns the records in the order of their offsets, and whether they are all that exist
 */
export function selectUnknown(
    topic: ReplicaTopic,
    position: ReplicaPosition,
): { readonly records: readonly KnownRecord[]; readonly complete: boolean; } {
    if (position.era > topic.era) {
        return { records: [], complete: false };
    }
    const complete = position.nextOffset === 0 || position.era < topic.era;
    const isTold = position.carriedChanges === topic.carriedChanges;
    const records = [...topic.records.values()].filter(record => {
        if (isCarried(topic, record)) {
            return complete || !isTold;
        }
        return complete ? record.value !== undefined : record.offset >= position.nextOffset;
    });
    return { records: records.sort((left, right) => left.offset - right.offset), complete };
}
