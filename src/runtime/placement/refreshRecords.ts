import type {
    ConfigurationRow,
    DeploymentDeclaration,
    LogRecord,
    PlacementRow,
    RecordHeader,
} from "../../types/index.js";
import type { DueRecord, FoldState } from "../state/index.js";

/** Fields of a refresh that do not depend on the row. */
export type RefreshHeader = Pick<RecordHeader, "id" | "writtenAt" | "writer">;

/**
 * Creates the record that appends a row again, before the log's retention expires.
 *
 * @param state - the state
 * @param due - the row that has to be written again
 * @param header - identifier, time and writer
 * @returns record based on the newest accepted one
 */
export function createRefreshRecord(state: FoldState, due: DueRecord, header: RefreshHeader): LogRecord {
    return due.kind === "configuration" ?
        refreshConfiguration(state.configurations.get(due.deployment)!, header) :
        refreshPlacement(state.placements.get(due.deployment)!, header);
}

function refreshConfiguration(row: ConfigurationRow, header: RefreshHeader): LogRecord {
    return {
        ...header,
        kind: "configuration",
        deployment: row.deployment,
        base: row.offset,
        declaration: createDeclaration(row),
        refreshOf: row,
    };
}

function createDeclaration(row: ConfigurationRow): DeploymentDeclaration {
    const { kind, weights, replicas, pool, objective, priority, updateStrategy } = row;
    return row.schemaVersion === 1 ?
        { schemaVersion: 1, kind, weights, replicas, pool } :
        { schemaVersion: 2, kind, weights, replicas, pool, objective, priority, updateStrategy };
}

function refreshPlacement(row: PlacementRow, header: RefreshHeader): LogRecord {
    return {
        ...header,
        kind: "placement",
        deployment: row.deployment,
        base: row.offset,
        configurationOffset: row.configurationOffset,
        copies: row.copies,
        owners: row.owners,
        nextOwners: row.nextOwners,
    };
}
