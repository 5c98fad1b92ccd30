import type { Logger } from "pino";
import { createReplica, mergePage, type ReplicaTopic } from "../../runtime/replica/index.js";
import type { Clock, KeyedPage, KeyedRecord, KeyedTopic, LogEra, Milliseconds } from "../../types/index.js";

/** Where a page came from. */
export type PageSource = "log" | "relay" | "local";

/** Page with what is known of its origin. */
export interface ReceivedPage {
    readonly topic: KeyedTopic;
    readonly page: KeyedPage;
    readonly complete: boolean;
    /** Time since the sender's knowledge was current. */
    readonly age: Milliseconds;
    readonly source: PageSource;
    /** `host:port` or instance that the page came from. */
    readonly peer: string;
}

/** Called with the records that changed. */
export type RecordListener = (topic: KeyedTopic, records: readonly KeyedRecord[], page: ReceivedPage) => void;

/** Copy of keyed topics with its listeners. */
export interface RecordStore {
    /**
     * Merges a page and tells the listeners what changed.
     *
     * @param received - the page
     */
    receive(received: ReceivedPage): void;
    /**
     * Reads a topic.
     *
     * @param topic - one of the topics of this store
     * @returns what is known of it
     */
    topic(topic: KeyedTopic): ReplicaTopic;
    /**
     * Reads how current the relayed knowledge of a topic is.
     *
     * @param topic - one of the topics of this store
     * @returns monotonic time; undefined if nothing was relayed
     */
    relayedCurrentAt(topic: KeyedTopic): Milliseconds | undefined;
    /** Registers a listener for changed records. */
    onChange(listener: RecordListener): void;
    /** Highest era that the log or a relay has named; 0 if none did. */
    readonly newestEra: () => LogEra;
    /**
     * Notes the era that an answer or a relay names.
     *
     * @param era - the era; 0 if it names none
     */
    readonly noteEra: (era: LogEra) => void;
    /** Registers a listener that is called when a higher era is named. */
    onEra(listener: () => void): void;
    /** Registers a listener that is called when a topic is taken over from a restored log, before its changes are told. */
    onRestored(listener: (topic: KeyedTopic) => void): void;
    readonly topics: readonly KeyedTopic[];
}

/**
 * Creates the copy of keyed topics of a process.
 *
 * @param topics - topics that it holds
 * @param clock - time
 * @param logger - writes a line for each page with changes
 * @returns the store, empty
 */
export function createRecordStore(topics: readonly KeyedTopic[], clock: Clock, logger: Logger): RecordStore {
    const replica = createReplica(topics);
    const relayed = new Map<KeyedTopic, Milliseconds>();
    const listeners: RecordListener[] = [];
    const eraListeners: (() => void)[] = [];
    const restoreListeners: ((topic: KeyedTopic) => void)[] = [];
    let newestEra: LogEra = 0;

    function noteEra(era: LogEra): void {
        if (era > newestEra) {
            newestEra = era;
            eraListeners.forEach(listener => listener());
        }
    }

    function noteRestored(received: ReceivedPage, previous: LogEra): void {
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
        relayedCurrentAt: topic => relayed.get(topic),
        onChange: listener => void listeners.push(listener),
        newestEra: () => newestEra,
        noteEra,
        onEra: listener => void eraListeners.push(listener),
        onRestored: listener => void restoreListeners.push(listener),
        receive: received => {
            const { age, complete, page, peer, source, topic } = received;
            const currentAt = clock.monotonic() - age;
            const known = findTopic(topic);
            const { currentAt: knownAt, era } = known;
            if ((page.era ?? 0) < era) {
                return;
            }
            if (source === "relay") {
                relayed.set(topic, Math.max(relayed.get(topic) ?? currentAt, currentAt));
            }
            const changed = mergePage(known, { page, complete, currentAt });
            if (knownAt !== undefined && known.era > era) {
                noteRestored(received, era);
            }
            noteEra(page.era ?? 0);
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
                listeners.forEach(listener => listener(topic, changed, received));
            }
        },
    };
}
