import type { Logger } from "pino";
import {
    createReplica,
    dateRecords,
    mergePage,
    type ReplicaTopic,
    selectLater,
    topicLimits,
} from "../../runtime/replica/index.js";
import type { Clock, KeyedPage, KeyedRecord, KeyedTopic, LogEra, Milliseconds } from "../../types/index.js";
import { checkRecords, type RecordCheck, type RecordChecks } from "./readableRecords.js";
import { createReportedKeys } from "./reportedKeys.js";

/** Where a page came from: the log, a relay or this process. */
export type PageSource = "log" | "relay" | "local";

/** Page of records with its source and age. */
export interface ReceivedPage {
    readonly topic: KeyedTopic;
    readonly page: KeyedPage;
    readonly complete: boolean;
    /** Time since the sender's records were current. */
    readonly age: Milliseconds;
    /**
     * Monotonic time after which records were written that were not known before the page was received, those included
     * that others of their keys have replaced since. Listeners receive the later one of this time and the time at which
     * the topic was current before.
     */
    readonly writtenAfter?: Milliseconds | undefined;
    readonly source: PageSource;
    /** True if the read of the log before this one failed. Default: false. */
    readonly afterFailure?: boolean | undefined;
    /** `host:port` or instance that the page came from. */
    readonly peer: string;
    /** Instance that read the records from the log. Default: it is not known. */
    readonly reader?: string | undefined;
}

/** Maximum number of readers of a topic whose times are kept; the least current one is dropped first. */
const maximumReaders = 16;

/** Called with the records that changed. */
export type RecordListener = (topic: KeyedTopic, records: readonly KeyedRecord[], page: ReceivedPage) => void;

/** Replica of keyed topics, which notifies listeners of changes. */
export interface RecordStore {
    /**
     * Merges a page and notifies the listeners of the changed records. A record that a listener fails to apply is
     * logged. A value that cannot be read is replaced by an empty one; if its key is not known, listeners are notified
     * once a minute, and nothing is kept.
     *
     * @param received - the page and its source
     */
    receive(received: ReceivedPage): void;
    /**
     * Returns a topic.
     *
     * @param topic - one of the topics of this store
     * @returns its records and position
     */
    topic(topic: KeyedTopic): ReplicaTopic;
    /**
     * Returns the time at which the records that relays have sent for a topic were current.
     *
     * @param topic - one of the topics of this store
     * @param isCounted - selects the instances whose reads of the log count; empty for an unknown one. Default: all
     * @returns monotonic time; undefined if no relay has sent such a page
     */
    relayedCurrentAt(topic: KeyedTopic, isCounted?: (reader: string) => boolean): Milliseconds | undefined;
    /**
     * Returns the instance that read the newest records of a topic from the log.
     *
     * @param topic - one of the topics of this store
     * @returns the instance; undefined if it is not known
     */
    findReader(topic: KeyedTopic): string | undefined;
    /** Registers a listener for changed records. */
    onChange(listener: RecordListener): void;
    /** Registers a listener for known records whose time of writing has become known more exactly. */
    onDated(listener: (topic: KeyedTopic, records: readonly KeyedRecord[]) => void): void;
    /** Highest era that the log or a relay has stated; 0 if none did. */
    readonly newestEra: () => LogEra;
    /**
     * Records the era that a response or a relay states.
     *
     * @param era - the era; 0 if none is stated
     */
    readonly recordEra: (era: LogEra) => void;
    /** Registers a listener that is called when a higher era is stated. */
    onEra(listener: () => void): void;
    /**
     * Registers a listener that is called when a topic was merged with a restored log, before the listeners for changed
     * records are called.
     */
    onRestored(listener: (topic: KeyedTopic) => void): void;
    readonly topics: readonly KeyedTopic[];
    /** Counts the bytes of keys and values that are kept of all topics. */
    readonly countBytes: () => number;
}

/** Options of {@link createRecordStore}. */
export interface RecordStoreOptions {
    /** Decide which values can be read; others are not kept. Default: all can be read. */
    readonly checks?: RecordChecks | undefined;
    /** Selects the records that are kept even if their topic exceeds its limits. Default: none. */
    readonly isProtected?: ((topic: KeyedTopic, key: string) => boolean) | undefined;
}

/** Adds the limit on the size of a value to the check of a topic. */
function limitValues(topic: KeyedTopic, check: RecordCheck = () => true): RecordCheck {
    const { valueBytes } = topicLimits[topic];
    return (key, value) => value.byteLength <= valueBytes && check(key, value);
}

/** Counts the bytes of the key and the value of a record, without the overhead that limits include. */
function countContentBytes({ key, value }: KeyedRecord): number {
    return key.length + (value?.byteLength ?? 0);
}

/**
 * Creates the replica of keyed topics of a process.
 *
 * @param topics - topics to replicate
 * @param clock - time source
 * @param logger - writes a line for each page with changes
 * @param options - which records are kept
 * @returns the store, empty
 */
export function createRecordStore(
    topics: readonly KeyedTopic[],
    clock: Clock,
    logger: Logger,
    { checks = {}, isProtected }: RecordStoreOptions = {},
): RecordStore {
    const replica = createReplica(topics, isProtected);
    const isReadable = new Map(topics.map(topic => [topic, limitValues(topic, checks[topic])]));
    const isReported = new Map(topics.map(topic => [topic, createReportedKeys(clock)]));
    /** Times at which relayed records were current, by the instance that read them; empty if it is not known. */
    const relayedCurrentAt = new Map(topics.map(topic => [topic, new Map<string, Milliseconds>()]));
    const readers = new Map<KeyedTopic, string | undefined>();
    const listeners: RecordListener[] = [];
    const datedListeners: ((topic: KeyedTopic, records: readonly KeyedRecord[]) => void)[] = [];
    const eraListeners: (() => void)[] = [];
    const restoreListeners: ((topic: KeyedTopic) => void)[] = [];
    let newestEra: LogEra = 0;

    function recordEra(era: LogEra): void {
        if (era > newestEra) {
            newestEra = era;
            eraListeners.forEach(listener => listener());
        }
    }

    /**
     * Notifies a listener. If it fails, it gets the records one by one, so that one that it cannot apply costs no other
     * record, no other listener and not the reader of the page.
     */
    function notify(listener: RecordListener, records: readonly KeyedRecord[], received: ReceivedPage): void {
        const { peer, source, topic } = received;
        try {
            listener(topic, records, received);
        }
        catch (cause) {
            if (records.length > 1) {
                records.forEach(record => notify(listener, [record], received));
                return;
            }
            const detail = cause instanceof Error ? cause.message : String(cause);
            logger.error({ topic, source, peer, key: records[0]?.key, detail }, "record not applied");
        }
    }

    function reportRestore(received: ReceivedPage, previous: LogEra): void {
        const { peer, source, topic } = received;
        const { era, nextOffset, records } = findTopic(topic);
        const carried = [...records.values()].filter(record => record.era < era).length;
        logger.warn({ topic, era, previous, source, peer, nextOffset, carried }, "log restored");
        restoreListeners.forEach(listener => listener(topic));
    }

    function recordRelayed(topic: KeyedTopic, reader: string, currentAt: Milliseconds): void {
        const times = relayedCurrentAt.get(topic)!;
        times.set(reader, Math.max(times.get(reader) ?? currentAt, currentAt));
        if (times.size > maximumReaders) {
            const [oldest] = [...times].sort((left, right) => left[1] - right[1]);
            times.delete(oldest![0]);
        }
    }

    function findTopic(topic: KeyedTopic): ReplicaTopic {
        const found = replica.topics.get(topic);
        if (found === undefined) {
            throw new Error(`topic ${topic} is not replicated here`);
        }
        return found;
    }

    return {
        topics,
        topic: findTopic,
        countBytes: () =>
            [...replica.topics.values()].reduce(
                (sum, { records }) =>
                    [...records.values()].reduce((bytes, record) => bytes + countContentBytes(record), sum),
                0,
            ),
        relayedCurrentAt: (topic, isCounted = () => true) => {
            const times = [...relayedCurrentAt.get(topic) ?? []].filter(([reader]) => isCounted(reader));
            return times.length === 0 ? undefined : Math.max(...times.map(([, currentAt]) => currentAt));
        },
        findReader: topic => readers.get(topic),
        onChange: listener => void listeners.push(listener),
        onDated: listener => void datedListeners.push(listener),
        newestEra: () => newestEra,
        recordEra,
        onEra: listener => void eraListeners.push(listener),
        onRestored: listener => void restoreListeners.push(listener),
        receive: received => {
            const { age, complete, peer, source, topic } = received;
            const currentAt = clock.monotonic() - age;
            const known = findTopic(topic);
            const { currentAt: knownAt, era } = known;
            const writtenAfter = selectLater(knownAt, received.writtenAfter);
            if ((received.page.era ?? 0) < era) {
                return;
            }
            const { page, unreadable } = checkRecords(known, received.page, isReadable.get(topic)!);
            if (source === "relay") {
                recordRelayed(topic, received.reader ?? "", currentAt);
            }
            const dated = dateRecords(known, page);
            const changed = mergePage(known, {
                page,
                complete,
                newestOnly: source === "relay",
                currentAt,
                writtenAfter,
            });
            if (known.currentAt === currentAt) {
                readers.set(topic, received.reader);
            }
            if (knownAt !== undefined && known.era > era) {
                reportRestore(received, era);
            }
            recordEra(page.era ?? 0);
            if (dated.length > 0) {
                datedListeners.forEach(listener => listener(topic, dated));
            }
            const reported = unreadable.filter(({ key }) => isReported.get(topic)!(key));
            if (changed.length + reported.length > 0) {
                logger.info(
                    {
                        topic,
                        source,
                        peer,
                        ageMilliseconds: Math.round(age),
                        nextOffset: page.nextOffset,
                        keys: changed.length,
                        unreadable: unreadable.length,
                    },
                    "records changed",
                );
                const notified = [...changed, ...reported];
                listeners.forEach(listener => notify(listener, notified, { ...received, page, writtenAfter }));
            }
        },
    };
}
