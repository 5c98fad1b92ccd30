import type { Milliseconds, Offset } from "./identifiers.js";
import type { PortResult } from "./ports.js";

/**
 * Topics of keyed records: the operator's records, the list of backend servers, the instances that relay records, the
 * requests that crash backend servers, and the weight sources, which gateways derive from the configuration for agents.
 */
export type KeyedTopic = "operator" | "backend-servers" | "instances" | "condemned-requests" | "weight-sources";

/**
 * Number of times that the log was restored from a backup; 0 while it is not known. Offsets are reused after a restore,
 * so they can only be compared within one era.
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
     * Numbers that show which of two contents of the key is newer, compared lexicographically; undefined if contents
     * cannot be compared.
     */
    readonly order?: readonly number[] | undefined;
    /** Monotonic time after which the record was written; undefined if no such time is known. */
    readonly writtenAfter?: Milliseconds | undefined;
}

/** Records of a topic. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset of the record that the next read begins with. */
    readonly nextOffset: Offset;
    /** Era of the offsets. Default: 0. */
    readonly era?: LogEra | undefined;
    /** True if the log has records from the next offset on, so that the page does not make a reader current. */
    readonly hasMore?: boolean | undefined;
}

/** Log that keeps the newest record of each key indefinitely and older records for a limited time. */
export interface KeyedLogPort {
    /**
     * Reads the newest record of each key.
     *
     * @param topic - topic to read
     * @returns records of all keys; reading from the next offset returns every change made since the read began
     */
    readNewest(topic: KeyedTopic): PortResult<KeyedPage>;
    /**
     * Reads records in the order of their offsets.
     *
     * @param topic - topic to read
     * @param nextOffset - offset of the first record to read
     * @param wait - maximum time that the service waits for a record
     * @param signal - aborts the read
     * @returns the records; `LOG_TRUNCATED` if the first one has expired, or lies behind the end of a restored log
     */
    readSince(
        topic: KeyedTopic,
        nextOffset: Offset,
        wait: Milliseconds,
        signal?: AbortSignal,
    ): PortResult<KeyedPage>;
    /**
     * Writes a record; an empty value drops its key.
     *
     * @param topic - topic to write to
     * @param key - key of the record
     * @param value - content of the record
     * @returns its offset; `APPEND_AMBIGUOUS` if the response was lost or does not tell whether the record was appended
     */
    put(topic: KeyedTopic, key: string, value: Uint8Array): PortResult<Offset>;
    /**
     * Registers a listener for the eras that responses of the log state, error responses included.
     *
     * @param listener - called for each response that states an era
     */
    onEra?(listener: (era: LogEra) => void): void;
    /**
     * Registers a listener for the bytes that are read, most of which are not kept.
     *
     * @param listener - called with the number of bytes of each part of a response
     */
    onRead?(listener: (bytes: number) => void): void;
}
