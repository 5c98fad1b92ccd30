import type { Logger } from "pino";
import { createReplica, mergePage, type ReplicaTopic } from "../../runtime/replica/index.js";
import type { Clock, KeyedPage, KeyedRecord, KeyedTopic, Milliseconds } from "../../types/index.js";

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
        receive: received => {
            const { age, complete, page, peer, source, topic } = received;
            const currentAt = clock.monotonic() - age;
            if (source === "relay") {
                relayed.set(topic, Math.max(relayed.get(topic) ?? currentAt, currentAt));
            }
            const known = findTopic(topic);
            const changed = mergePage(known, { page, complete, currentAt });
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
