import type { Milliseconds, Offset } from "./identifiers.js";
import type { PortResult } from "./ports.js";

/**
 * Topics of keyed records: the operator's records, the list of backend servers, the entry instances that relay records,
 * the requests that crash backend servers, and the weight sources, which gateways derive from the configuration for agents.
 */
export type KeyedTopic = "operator" | "backend-servers" | "instances" | "condemned-requests" | "weight-sources";

/**
 * Number of times that the log was restored from an older copy, and 0 while that is not known. Offsets are given out again
 * after a restore, so that they only compare within one era.
 */
export type LogEra = number;

/** Newest record of a key. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined if the key was dropped. */
    readonly value: Uint8Array | undefined;
    readonly offset: Offset;
    /** Era in which the record was read. Default: that of its page. */
    readonly era?: LogEra | undefined;
    /**
     * Numbers that grow with each newer content of the key, compared one after the other; undefined if contents cannot be
     * compared.
     */
    readonly order?: readonly number[] | undefined;
}

/** Records of a topic. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset of the record that the next read begins with. */
    readonly nextOffset: Offset;
    /** Era of the offsets. Default: 0. */
    readonly era?: LogEra | undefined;
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
     * @param signal - ends the read
     * @returns the records; `LOG_TRUNCATED` if the first one has expired, or lies behind the end of a restored log
     */
    readSince(
        topic: KeyedTopic,
        nextOffset: Offset,
        wait: Milliseconds,
        signal?: AbortSignal,
    ): PortResult<KeyedPage>;
    /**
     * Writes a record; one without content drops its key.
     *
     * @param topic - topic to write to
     * @param key - key of the record
     * @param value - content
     * @returns its offset; `APPEND_AMBIGUOUS` if the answer was lost
     */
    put(topic: KeyedTopic, key: string, value: Uint8Array): PortResult<Offset>;
    /**
     * Registers a listener for the era that answers of the log name, refusals included.
     *
     * @param listener - called for each answer that names one
     */
    onEra?(listener: (era: LogEra) => void): void;
}
