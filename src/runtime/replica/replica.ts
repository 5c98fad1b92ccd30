import type { KeyedPage, KeyedRecord, KeyedTopic, LogEra, Milliseconds, Offset } from "../../types/index.js";
import { selectExcess, type TopicLimits, topicLimits } from "./recordLimits.js";
import { missingKeyPolicies, type MissingKeyPolicy, supersedes } from "./restore.js";

/** Record with the era of its offset; the era of the log grows each time that the log is restored from a backup. */
export interface KnownRecord extends KeyedRecord {
    readonly era: LogEra;
    /** Offset at which the value was last written in this era, as far as this process has read it. Default: `offset`. */
    lastOffset?: Offset | undefined;
}

/** Records of one topic that a process knows, and up to which position. */
export interface ReplicaTopic {
    /**
     * For each key, the record that set its current value; a key that was dropped has a tombstone, a record without
     * value.
     */
    readonly records: Map<string, KnownRecord>;
    /** Era of `nextOffset`. Records carried over from earlier eras stay in force until written again or superseded. */
    era: LogEra;
    /** Offset of the first record that is not known; all records before it are. */
    nextOffset: Offset;
    /**
     * Offset of the first record from which on all removals are known. Those before it may be missing: a complete page
     * does not list them, and the oldest tombstones are deleted.
     */
    removalsKnownFrom: Offset;
    /** Monotonic time at which the records were current; undefined before the first page. */
    currentAt: Milliseconds | undefined;
    /** Counts changes of the records carried over from earlier eras, which offsets do not order. */
    carriedChanges: number;
    /** What happens to known keys that a restored log does not list. */
    readonly missingKeyPolicy: MissingKeyPolicy;
    readonly limits: TopicLimits;
    /** Selects the keys whose records are kept even if the topic exceeds its limits. */
    readonly isProtected: (key: string) => boolean;
}

/** Copy of keyed topics in one process. */
export interface Replica {
    readonly topics: ReadonlyMap<KeyedTopic, ReplicaTopic>;
}

/** Records that were merged, and the time at which they were current. */
export interface MergeInput {
    readonly page: KeyedPage;
    /** True if the page lists all keys, so that others were dropped. */
    readonly complete: boolean;
    /** True if the page lacks records that later ones of their keys have replaced. Default: only if it is complete. */
    readonly newestOnly?: boolean | undefined;
    /** Monotonic time at which the sender's records were current. */
    readonly currentAt: Milliseconds;
    /** Monotonic time after which the records of the page that are not known yet were written; undefined if unknown. */
    readonly writtenAfter?: Milliseconds | undefined;
}

/** Position up to which a follower knows a topic. */
export interface ReplicaPosition {
    readonly era: LogEra;
    readonly nextOffset: Offset;
    /**
     * {@link ReplicaTopic.carriedChanges} of the sender at its last message to the follower; undefined before the
     * first.
     */
    readonly carriedChanges: number | undefined;
}

/** Time that a page may take on its way; a known date is not moved for less. */
const datingTolerance: Milliseconds = 500;

/** Maximum number of tombstones in a topic; the oldest are deleted first. */
const maximumTombstones = 1_000;

/**
 * Creates an empty replica.
 *
 * @param topics - topics that it holds
 * @param isProtected - selects the records that are kept even if their topic exceeds its limits. Default: none
 * @returns the replica
 */
export function createReplica(
    topics: readonly KeyedTopic[],
    isProtected: (topic: KeyedTopic, key: string) => boolean = () => false,
): Replica {
    return {
        topics: new Map(
            topics.map(topic => [topic, {
                records: new Map(),
                era: 0,
                nextOffset: 0,
                removalsKnownFrom: 0,
                currentAt: undefined,
                carriedChanges: 0,
                missingKeyPolicy: missingKeyPolicies[topic],
                limits: topicLimits[topic],
                isProtected: key => isProtected(topic, key),
            }]),
        ),
    };
}

/**
 * Returns the later of two times, each of which may be unknown.
 *
 * @param left - monotonic time; undefined if unknown
 * @param right - monotonic time; undefined if unknown
 * @returns the later of the known ones; undefined if neither is known
 */
export function selectLater(left: Milliseconds | undefined, right: Milliseconds | undefined): Milliseconds | undefined {
    return left === undefined || right === undefined ? left ?? right : Math.max(left, right);
}

function isSameValue(left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
    return left === undefined || right === undefined ? left === right : Buffer.compare(left, right) === 0;
}

function isFromEarlierEra(topic: ReplicaTopic, record: KnownRecord): boolean {
    return record.era < topic.era;
}

function createTombstones(topic: ReplicaTopic, { page }: MergeInput): KnownRecord[] {
    const listed = new Set(page.records.map(({ key }) => key));
    return [...topic.records.values()]
        .filter(record => !listed.has(record.key) && record.value !== undefined)
        .filter(record => topic.missingKeyPolicy === "drop" || !isFromEarlierEra(topic, record))
        .map(({ key, order }) => ({ key, value: undefined, offset: page.nextOffset - 1, era: topic.era, order }));
}

function deleteOldestTombstones(topic: ReplicaTopic): void {
    const dropped = [...topic.records.values()].filter(({ value }) => value === undefined);
    const deleted = dropped.sort((left, right) => left.offset - right.offset).slice(0, -maximumTombstones);
    for (const record of deleted) {
        topic.records.delete(record.key);
        if (!isFromEarlierEra(topic, record)) {
            topic.removalsKnownFrom = Math.max(topic.removalsKnownFrom, record.offset + 1);
        }
    }
}

/** Stores a record; returns true if it changes the value of its key. */
function storeRecord(topic: ReplicaTopic, record: KnownRecord): boolean {
    const previous = topic.records.get(record.key);
    const isChanged = !isSameValue(previous?.value, record.value);
    if (!isChanged && (previous === undefined || previous.era >= record.era)) {
        if (previous !== undefined && previous.era === record.era) {
            previous.lastOffset = Math.max(previous.lastOffset ?? previous.offset, record.offset);
        }
        return false;
    }
    // A tombstone keeps the order of the dropped value, by which later records of the key are compared.
    const order = record.order ?? (record.value === undefined ? previous?.order : undefined);
    topic.records.set(record.key, { ...record, order });
    if (isFromEarlierEra(topic, record) || (previous !== undefined && isFromEarlierEra(topic, previous))) {
        topic.carriedChanges++;
    }
    return isChanged;
}

/** Merges a record that the sender carried over from an earlier era, since it has not been written again. */
function mergeFromEarlierEra(topic: ReplicaTopic, record: KnownRecord, nextOffset: Offset): boolean {
    const previous = topic.records.get(record.key);
    if (previous === undefined) {
        return storeRecord(topic, record);
    }
    // The sender does not know records at or after its own position yet.
    const isUnseen = !isFromEarlierEra(topic, previous) && previous.offset >= nextOffset;
    return !isUnseen && !isSameValue(previous.value, record.value) && supersedes(record, previous) &&
        storeRecord(topic, record);
}

/** Merges a record whose offset belongs to the era of the topic. */
function mergeFromCurrentEra(topic: ReplicaTopic, record: KnownRecord, knownOffset: Offset): boolean {
    const previous = topic.records.get(record.key);
    if (record.offset < knownOffset) {
        return false;
    }
    const isOlder = previous?.value !== undefined && record.value !== undefined && isFromEarlierEra(topic, previous) &&
        !isSameValue(previous.value, record.value) && !supersedes(record, previous);
    return !isOlder && storeRecord(topic, record);
}

/**
 * Takes over offsets of known values, and tombstones of unknown keys, from a page that lacks older records. Between them,
 * keys may have been written and dropped, which a follower that knows a part of it must learn.
 */
function updateOffsets(topic: ReplicaTopic, read: readonly KnownRecord[], knownOffset: Offset): void {
    for (const record of read) {
        const { era, key, offset, value } = record;
        const known = topic.records.get(key);
        if (
            era === topic.era && offset >= knownOffset && isSameValue(known?.value, value) &&
            (known === undefined || known.era === era)
        ) {
            topic.records.set(key, { ...record, ...known, offset });
        }
    }
}

/** Merges all records of a log that was restored from a backup; known records that are newer stay in force. */
function mergeRestored(
    topic: ReplicaTopic,
    input: MergeInput,
    era: LogEra,
    read: readonly KnownRecord[],
): KnownRecord[] {
    const { page } = input;
    topic.era = era;
    topic.nextOffset = page.nextOffset;
    topic.removalsKnownFrom = page.nextOffset;
    topic.carriedChanges++;
    const dropped = topic.missingKeyPolicy === "drop" ? createTombstones(topic, input) : [];
    const accepted = read.filter(record => {
        const previous = topic.records.get(record.key);
        return previous === undefined || isSameValue(previous.value, record.value) || supersedes(record, previous);
    });
    return [...dropped, ...accepted].filter(record => storeRecord(topic, record));
}

/**
 * Removes the records that exceed the limits of the topic. A key that was known before the page gets a tombstone, so that
 * followers remove it, too; of others, nothing is kept.
 *
 * @param topic - topic to change
 * @param changed - records that the page has changed
 * @param newKeys - keys that were not known before the page
 * @returns the changes with the removals
 */
function enforceLimits(
    topic: ReplicaTopic,
    changed: KnownRecord[],
    newKeys: ReadonlySet<string>,
): KnownRecord[] {
    const kept = [...topic.records.values()].filter(({ value }) => value !== undefined);
    const excess = selectExcess(kept, topic.limits, topic.isProtected);
    if (excess.length === 0) {
        return changed;
    }
    const removed = new Set(excess.map(({ key }) => key));
    const offset = Math.max(0, topic.nextOffset - 1);
    const tombstones = excess
        .filter(({ key }) => !newKeys.has(key))
        .map(({ key, order }): KnownRecord => ({ key, value: undefined, offset, era: topic.era, order }));
    removed.forEach(key => topic.records.delete(key));
    tombstones.forEach(tombstone => topic.records.set(tombstone.key, tombstone));
    return [...changed.filter(({ key }) => !removed.has(key)), ...tombstones];
}

/**
 * Merges records into a topic. Pages of several senders may arrive in any order: records before the position of the
 * topic are outdated and ignored. A record that repeats the known value leaves it unchanged, so that it is not relayed
 * again. Pages of an earlier era are ignored, and so are pages of a later era that are not complete.
 *
 * @param topic - topic to change
 * @param input - records and their time
 * @returns the records that changed the value of their key
 */
export function mergePage(topic: ReplicaTopic, input: MergeInput): readonly KeyedRecord[] {
    const { complete, currentAt, page } = input;
    const era = page.era ?? 0;
    if (era < topic.era || (era > topic.era && !complete)) {
        return [];
    }
    const isFirst = topic.currentAt === undefined;
    const read = page.records.map((record): KnownRecord => ({
        ...record,
        era: record.era ?? era,
        writtenAfter: selectLater(record.writtenAfter, input.writtenAfter),
    }));
    const newKeys = new Set(read.map(({ key }) => key).filter(key => !topic.records.has(key)));
    topic.currentAt = Math.max(topic.currentAt ?? currentAt, currentAt);
    let changed: KnownRecord[];
    if (era > topic.era && !isFirst) {
        changed = mergeRestored(topic, input, era, read);
    }
    else {
        topic.era = era;
        const knownOffset = topic.nextOffset;
        const isSkipping = complete && page.nextOffset > knownOffset;
        const dropped = isSkipping ? createTombstones(topic, input) : [];
        changed = [...dropped, ...read].filter(record =>
            isFromEarlierEra(topic, record) ?
                mergeFromEarlierEra(topic, record, page.nextOffset) :
                mergeFromCurrentEra(topic, record, knownOffset)
        );
        topic.nextOffset = Math.max(knownOffset, page.nextOffset);
        if (complete || input.newestOnly === true) {
            updateOffsets(topic, read, knownOffset);
        }
        if (isSkipping) {
            topic.removalsKnownFrom = page.nextOffset;
        }
    }
    if (changed.length > 0 || read.some(({ value }) => value === undefined)) {
        changed = enforceLimits(topic, changed, newKeys);
        deleteOldestTombstones(topic);
    }
    return changed;
}

/**
 * Dates known records by a page that repeats them with a later time after which they were written.
 *
 * @param topic - topic to change
 * @param page - page of a relay
 * @returns the records whose date has changed
 */
export function dateRecords(topic: ReplicaTopic, page: KeyedPage): readonly KeyedRecord[] {
    const dated: KnownRecord[] = [];
    for (const { era = page.era ?? 0, key, offset, writtenAfter } of page.records) {
        const known = topic.records.get(key);
        const isKnown = known !== undefined && known.offset === offset && known.era === era;
        if (
            isKnown && writtenAfter !== undefined && writtenAfter > (known.writtenAfter ?? -Infinity) + datingTolerance
        ) {
            const record = { ...known, writtenAfter };
            topic.records.set(key, record);
            dated.push(record);
        }
    }
    return dated;
}

/**
 * Selects the records that a follower does not know yet: all of them if removals after its position may be unknown, so
 * that it drops the keys that are not among them. Records carried over from earlier eras are sent whatever the
 * follower's position, and so are their tombstones, since the restored log may list the dropped keys again.
 *
 * @param topic - topic that is relayed
 * @param position - position of the follower
 * @returns the records in the order of their offsets; `complete` if they include all that exist
 */
export function selectUnknown(
    topic: ReplicaTopic,
    position: ReplicaPosition,
): { readonly records: readonly KnownRecord[]; readonly complete: boolean; } {
    if (position.era > topic.era) {
        return { records: [], complete: false };
    }
    const complete = position.nextOffset === 0 || position.era < topic.era ||
        position.nextOffset < topic.removalsKnownFrom;
    const knowsCarriedChanges = position.carriedChanges === topic.carriedChanges;
    const records = [...topic.records.values()].filter(record => {
        if (isFromEarlierEra(topic, record)) {
            return complete || !knowsCarriedChanges;
        }
        return complete ? record.value !== undefined : record.offset >= position.nextOffset;
    });
    return { records: records.sort((left, right) => left.offset - right.offset), complete };
}
