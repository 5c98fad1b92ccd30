import { create } from "@bufbuild/protobuf";
import { type RelayedRecord, RelayedRecordSchema } from "../../generated/goldcrestpoint_pb.js";
import type { LogEntry, LogRecord } from "../../types/index.js";

/**
 * Converts a log entry to its message.
 *
 * @param entry - the entry
 * @returns the message
 */
export function createRelayedRecord(entry: LogEntry): RelayedRecord {
    return create(RelayedRecordSchema, {
        offset: BigInt(entry.offset),
        previousOffset: BigInt(entry.previousOffset),
        record: JSON.stringify(entry.record),
    });
}

/**
 * Converts a message to its log entry.
 *
 * @param message - the message
 * @returns the entry
 */
export function readRelayedRecord(message: RelayedRecord): LogEntry {
    return {
        offset: Number(message.offset),
        previousOffset: Number(message.previousOffset),
        record: JSON.parse(message.record) as LogRecord,
    };
}
