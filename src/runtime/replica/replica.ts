import type { KeyedPage, KeyedRecord, KeyedTopic, Milliseconds, Offset } from "../../types/index.js";

/** What a process knows of one topic. */
export interface ReplicaTopic {
    /** Record of each key with which it took its newest value; keys that were dropped stay without a value. */
    readonly records: Map<string, KeyedRecord>;
    /** Offset of the first record that is not known; everything before it is. */
    nextOffset: Offset;
    /** Monotonic time at which the knowledge was current; undefined before the first page. */
    currentAt: Milliseconds | undefined;
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
            topics.map(topic => [topic, { records: new Map(), nextOffset: 0, currentAt: undefined }]),
        ),
    };
}

function isSameValue(left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
    return left === undefined || right === undefined ? left === right : Buffer.compare(left, right) === 0;
}

function listDropped(topic: ReplicaTopic, { page }: MergeInput): KeyedRecord[] {
    const listed = new Set(page.records.map(({ key }) => key));
    return [...topic.records.values()]
        .filter(({ key, value }) => !listed.has(key) && value !== undefined)
        .map(({ key }) => ({ key, value: undefined, offset: page.nextOffset - 1 }));
}

function forgetOldestDropped(topic: ReplicaTopic): void {
    const dropped = [...topic.records.values()].filter(({ value }) => value === undefined);
    for (const { key } of dropped.sort((left, right) => left.offset - right.offset).slice(0, -maximumDroppedKeys)) {
        topic.records.delete(key);
    }
}

/**
 * Merges records into a topic. Pages of several senders may arrive in any order: what lies before the position that is
 * known already is older than the knowledge and is left out. A record that repeats the known value leaves it as it is,
 * so that it is not relayed again.
 *
 * @param topic - topic to change
 * @param input - records and their time
 * @returns the records that changed what is known of their key
 */
export function mergePage(topic: ReplicaTopic, input: MergeInput): readonly KeyedRecord[] {
    const { complete, currentAt, page } = input;
    const changed: KeyedRecord[] = [];
    const known = topic.nextOffset;
    const dropped = complete && page.nextOffset > known ? listDropped(topic, input) : [];
    for (const record of [...dropped, ...page.records]) {
        const previous = topic.records.get(record.key);
        if (record.offset < known || isSameValue(previous?.value, record.value)) {
            continue;
        }
        topic.records.set(record.key, record);
        changed.push(record);
    }
    topic.nextOffset = Math.max(known, page.nextOffset);
    topic.currentAt = Math.max(topic.currentAt ?? currentAt, currentAt);
    if (changed.length > 0) {
        forgetOldestDropped(topic);
    }
    return changed;
}

/**
 * Selects what a follower does not know yet.
 *
 * @param topic - topic that is relayed
 * @param nextOffset - offset of the first record that the follower does not know; 0 if it knows nothing
 * @returns the records in the order of their offsets, and whether they are all that exist
 */
export function selectUnknown(
    topic: ReplicaTopic,
    nextOffset: Offset,
): { readonly records: readonly KeyedRecord[]; readonly complete: boolean; } {
    const complete = nextOffset === 0;
    const records = [...topic.records.values()].filter(({ offset, value }) =>
        complete ? value !== undefined : offset >= nextOffset
    );
    return { records: records.sort((left, right) => left.offset - right.offset), complete };
}
