import type { LogRecord } from "../../types/index.js";

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function isOptionalObject(value: unknown): boolean {
    return value === undefined || isObject(value);
}

function isTextList(value: unknown): boolean {
    return Array.isArray(value) && value.every(item => typeof item === "string");
}

function isCopy(value: unknown): boolean {
    return isObject(value) && typeof value["instance"] === "string" && isTextList(value["witnesses"]) &&
        isOptionalObject(value["weights"]);
}

/** Checks the fields that only one kind of record has. */
const checks: Readonly<Record<LogRecord["kind"], (fields: Fields) => boolean>> = {
    configuration: ({ declaration, refreshOf }) =>
        isObject(declaration) && isOptionalObject(refreshOf) &&
        [declaration, refreshOf ?? declaration].every(row =>
            isObject(row) && isObject(row["replicas"]) && isOptionalObject(row["weights"])
        ),
    placement: ({ copies, nextOwners, owners }) =>
        Array.isArray(copies) && copies.every(isCopy) && isTextList(owners) &&
        (nextOwners === undefined || isTextList(nextOwners)),
};

/**
 * Tells whether a record of the log has the structure that its rows are derived from. Other writers may append records
 * without it. All processes decide alike, and unknown fields and values are accepted, since newer processes write them.
 *
 * @param record - record as it was parsed
 * @returns false if no row can be derived from the record
 */
export function isWellFormed(record: unknown): record is LogRecord {
    if (!isObject(record) || typeof record["deployment"] !== "string") {
        return false;
    }
    const { kind } = record;
    return (kind === "configuration" || kind === "placement") && checks[kind](record);
}
