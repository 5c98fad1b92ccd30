import type { Logger } from "pino";
import { createReplica, dateRecords, mergePage, type ReplicaTopic, selectLater } from "../../runtime/replica/index.js";
import type { Clock, KeyedPage, KeyedRecord, KeyedTopic, LogEra, Milliseconds } from "../../types/index.js";

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
    /** `host:port` or instance that the page came from. */
    readonly peer: string;
}

/** Called with the records that changed. */
export type RecordListener = (topic: KeyedTopic, records: readonly KeyedRecord[], page: ReceivedPage) => void;

/** Replica of keyed topics, which notifies listeners of changes. */
export interface RecordStore {
    /**
     * Merges a page and notifies the listeners of the changed records.
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
     * @returns monotonic time; undefined if no relay has sent a page
     */
    relayedCurrentAt(topic: KeyedTopic): Milliseconds | undefined;
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
}

/**
 * Creates the replica of keyed topics of a process.
 *
 * @param topics - topics to replicate
 * @param clock - time source
 * @param logger - writes a line for each page with changes
 * @returns the store, empty
 */
export function createRecordStore(topics: readonly KeyedTopic[], clock: Clock, logger: Logger): RecordStore {
    const replica = createReplica(topics);
    const relayedCurrentAt = new Map<KeyedTopic, Milliseconds>();
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

    function reportRestore(received: ReceivedPage, previous: LogEra): void {
        const { peer, source, topic } = received;
        const { era, nextOffset, records } = findTopic(topic);
        const carried = [...records.values()].filter(record => record.era < era).length;
        logger.warn({ topic, era, previous, source, peer, nextOffset, carried }, "log restored");
        restoreListeners.forEach(listener => listener(topic));
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
        relayedCurrentAt: topic => relayedCurrentAt.get(topic),
        onChange: listener => void listeners.push(listener),
        onDated: listener => void datedListeners.push(listener),
        newestEra: () => newestEra,
        recordEra,
        onEra: listener => void eraListeners.push(listener),
        onRestored: listener => void restoreListeners.push(listener),
        receive: received => {
            const { age, complete, page, peer, source, topic } = received;
            const currentAt = clock.monotonic() - age;
            const known = findTopic(topic);
            const { currentAt: knownAt, era } = known;
            const writtenAfter = selectLater(knownAt, received.writtenAfter);
            if ((page.era ?? 0) < era) {
                return;
            }
            if (source === "relay") {
                relayedCurrentAt.set(topic, Math.max(relayedCurrentAt.get(topic) ?? currentAt, currentAt));
            }
            const dated = dateRecords(known, page);
            const changed = mergePage(known, { page, complete, currentAt, writtenAfter });
            if (knownAt !== undefined && known.era > era) {
                reportRestore(received, era);
            }
            recordEra(page.era ?? 0);
            if (dated.length > 0) {
                datedListeners.forEach(listener => listener(topic, dated));
            }
            if (changed.length > 0) {
                logger.info(
                    {
                        topic,
                        source,
                        peer,
                        ageMilliseconds: Math.round(age),
                        nextOffset: page.nextOffset,
                        keys: changed.length,
                    },
                    "records changed",
                );
                listeners.forEach(listener => listener(topic, changed, { ...received, writtenAfter }));
            }
        },
    };
}
