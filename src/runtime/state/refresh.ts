import type { Milliseconds } from "../../types/index.js";
import { createChainKey } from "./createState.js";
import type { ChainMark, DueRecord, FoldState } from "./types.js";

/**
 * Lists the records that have to be written again before the log drops what they depend on. A process that starts after
 * a truncation accepts a record only if it can read the one it is based on, or a later one that is based on it. So a
 * row is due once half of the retention has passed since its base, or the last record with the complete row, was
 * written. A refresh of an old record is itself based on an old one, so its confirmation is due at once.
 *
 * @param state - the state
 * @param now - wall-clock time
 * @param retention - time for which the log keeps records, in milliseconds
 * @returns the records that are due, configurations first
 */
export function listDueRecords(state: FoldState, now: Date, retention: Milliseconds): DueRecord[] {
    const threshold = now.getTime() - retention / 2;
    const due: DueRecord[] = [];
    for (const [kind, rows] of [["configuration", state.configurations], ["placement", state.placements]] as const) {
        for (const row of rows.rows()) {
            const mark = state.marks.get(createChainKey(kind, row.deployment));
            if (!isDue(mark, threshold)) {
                continue;
            }
            const reason = Date.parse(row.writtenAt) <= threshold ? "refresh" : "confirmation";
            due.push({ kind, deployment: row.deployment, reason, base: row.offset });
        }
    }
    return due;
}

function isDue(mark: ChainMark | undefined, threshold: Milliseconds): boolean {
    if (mark === undefined) {
        return true;
    }
    return Date.parse(mark.baseWrittenAt) <= threshold || Date.parse(mark.completeAt) <= threshold;
}
