import { create } from "@bufbuild/protobuf";
import { type RelayedRecord, RelayedRecordSchema } from "../../generated/goldcrestpoint_pb.js";
import type { LogEntry, LogRecord } from "../../types/index.js";

/**
 * Converts a log entry to a relay message.
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
 * Converts a relay message to a log entry.
 *
 * @param message - the message
 * @returns the entry; throws a `SyntaxError` if the record is not valid JSON
 */
export function readRelayedRecord(message: RelayedRecord): LogEntry {
    return {
        offset: Number(message.offset),
        previousOffset: Number(message.previousOffset),
        record: JSON.parse(message.record) as LogRecord,
    };
}
