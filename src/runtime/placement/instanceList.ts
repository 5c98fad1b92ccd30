import type { InstanceId, InstanceRow, ListedInstance } from "../../types/index.js";
import { createTable } from "../../utils/index.js";
import type { Table } from "../../utils/index.js";

/** Reads without an instance after which its row is deleted, which bounds the table; one day at one read a second. */
const absentReadsUntilForgotten = 86_400;

/**
 * Creates an empty instance table.
 *
 * @returns the table, indexed by `pool` and `role`
 */
export function createInstanceTable(): Table<InstanceId, InstanceRow> {
    return createTable<InstanceId, InstanceRow>({ pool: row => row.pool, role: row => row.role });
}

/**
 * Merges a list that was read from the platform into the table. Reads are at least 1 s apart. An empty list is ignored
 * as a faulty response, since it does not even contain the instance that reads it.
 *
 * @param table - the table; changed
 * @param listed - the list that was read
 * @param absentReadsUntilGone - successive reads without an instance after which it counts as gone; default: 3
 * @returns rows whose content other than the count of absent reads has changed
 */
export function mergeInstanceList(
    table: Table<InstanceId, InstanceRow>,
    listed: readonly ListedInstance[],
    absentReadsUntilGone = 3,
): InstanceRow[] {
    if (listed.length === 0) {
        return [];
    }
    const present = new Set(listed.map(({ instance }) => instance));
    const changed = listed.filter(instance => hasChanged(table.get(instance.instance), instance))
        .map(instance => ({ ...instance, absentReads: 0 }));
    for (const row of changed) {
        table.set(row.instance, row);
    }
    const absent = [...table.rows()].filter(row => !present.has(row.instance));
    for (const row of absent) {
        const next = countAbsence(row, absentReadsUntilGone);
        if (next.absentReads > absentReadsUntilForgotten) {
            table.delete(row.instance);
            continue;
        }
        table.set(row.instance, next);
        if (next.state !== row.state) {
            changed.push(next as typeof changed[number]);
        }
    }
    return changed.filter(row => table.has(row.instance));
}

function countAbsence(row: InstanceRow, absentReadsUntilGone: number): InstanceRow {
    const absentReads = row.absentReads + 1;
    return { ...row, absentReads, state: absentReads >= absentReadsUntilGone ? "gone" : row.state };
}

function hasChanged(row: InstanceRow | undefined, listed: ListedInstance): boolean {
    return row === undefined || row.absentReads > 0 || row.state !== listed.state || row.address !== listed.address ||
        row.pool !== listed.pool || row.zone !== listed.zone || row.region !== listed.region ||
        row.role !== listed.role;
}
