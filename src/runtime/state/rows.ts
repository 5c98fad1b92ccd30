import type {
    ConfigurationRecord,
    ConfigurationRow,
    CopyAssignment,
    LogEntry,
    Offset,
    PlacementRecord,
    PlacementRow,
} from "../../types/index.js";

/** Values of the fields of schema version 2 for a deployment that was never declared in it. */
const versionTwoDefaults = { objective: "time", priority: 5, updateStrategy: "in-place" } as const;

/**
 * Derives a configuration row.
 *
 * @param record - accepted record
 * @param offset - its offset
 * @param preceding - row that the record is based on; undefined if there is none or it is not known
 * @returns the row; undefined if the record contains only part of it and the preceding row is not known
 */
export function createConfigurationRow(
    record: ConfigurationRecord,
    offset: Offset,
    preceding: ConfigurationRow | undefined,
): ConfigurationRow | undefined {
    const { declaration, refreshOf } = record;
    if (refreshOf !== undefined) {
        return { ...refreshOf, deployment: record.deployment, offset, writtenAt: record.writtenAt };
    }
    if (record.base !== 0 && preceding === undefined) {
        return undefined;
    }
    const source = declaration.schemaVersion === 2 ? declaration : preceding ?? versionTwoDefaults;
    return {
        deployment: record.deployment,
        offset,
        revision: (preceding?.revision ?? 0) + 1,
        writer: record.writer,
        writtenAt: record.writtenAt,
        schemaVersion: declaration.schemaVersion,
        kind: declaration.kind,
        weights: declaration.weights,
        replicas: declaration.replicas,
        pool: declaration.pool ?? record.deployment,
        objective: source.objective,
        priority: source.priority,
        updateStrategy: source.updateStrategy,
    };
}

/**
 * Tells whether a record contains the complete row.
 *
 * @param record - configuration record
 * @returns true if no preceding row is needed to derive its row
 */
export function isSelfContained(record: ConfigurationRecord): boolean {
    return record.refreshOf !== undefined || record.base === 0;
}

/**
 * Derives a placement row. Copies that the record assigns get its offset as `epoch`, those that it revokes as
 * `revokedAt`.
 *
 * @param record - accepted record
 * @param offset - its offset
 * @returns the row
 */
export function createPlacementRow(record: PlacementRecord, offset: Offset): PlacementRow {
    return {
        deployment: record.deployment,
        offset,
        configurationOffset: record.configurationOffset,
        writtenAt: record.writtenAt,
        copies: record.copies.map(copy => fillOffsets(copy, offset)),
        owners: record.owners,
        nextOwners: record.nextOwners,
    };
}

function fillOffsets(copy: CopyAssignment, offset: Offset): CopyAssignment {
    const isNewlyRevoked = copy.state === "revoked" && !copy.revokedAt;
    if (copy.epoch !== 0 && !isNewlyRevoked) {
        return copy;
    }
    return {
        ...copy,
        epoch: copy.epoch === 0 ? offset : copy.epoch,
        ...(isNewlyRevoked ? { revokedAt: offset } : {}),
    };
}

/**
 * Measures the time that the retained log covers before an entry.
 *
 * @param entry - entry of the log
 * @param windowStart - ISO 8601 time of the first retained entry
 * @returns milliseconds between the first retained entry and this one
 */
export function measureRetainedTime(entry: LogEntry, windowStart: string): number {
    return Date.parse(entry.record.writtenAt) - Date.parse(windowStart);
}
