import type { Milliseconds, Offset } from "./identifiers.js";
import type { PortResult } from "./ports.js";

/**
 * Topics of keyed records: the operator's records, the list of backend servers, the entry instances that relay records,
 * the requests that crash backend servers, and the weight sources, which gateways derive from the configuration for agents.
 */
export type KeyedTopic = "operator" | "backend-servers" | "instances" | "condemned-requests" | "weight-sources";

/** Newest record of a key. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined if the key was dropped. */
    readonly value: Uint8Array | undefined;
    readonly offset: Offset;
}

/** Records of a topic. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset of the record that the next read begins with. */
    readonly nextOffset: Offset;
}

/** Log that keeps the newest record of each key for good and older records for a limited time. */
export interface KeyedLogPort {
    /**
     * Reads the newest record of each key.
     *
     * @param topic - topic to read
     * @returns all keys; the next offset is not later than the oldest state that the records show
     */
    readNewest(topic: KeyedTopic): PortResult<KeyedPage>;
    /**
     * Reads records in their order.
     *
     * @param topic - topic to read
     * @param nextOffset - offset of the first record that is wanted
     * @param wait - time that the service may wait for a record
     * @returns the records; `LOG_TRUNCATED` if the first one has expired
     */
    readSince(topic: KeyedTopic, nextOffset: Offset, wait: Milliseconds): PortResult<KeyedPage>;
    /**
     * Writes a record; one without content drops its key.
     *
     * @param topic - topic to write to
     * @param key - key of the record
     * @param value - content
     * @returns its offset; `APPEND_AMBIGUOUS` if the answer was lost
     */
    put(topic: KeyedTopic, key: string, value: Uint8Array): PortResult<Offset>;
}
