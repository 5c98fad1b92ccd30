import type { Fingerprint, Milliseconds } from "../../types/index.js";
import type { RetryOptions, SuspectRow, SuspectStanding, SuspectTable } from "./types.js";

/**
 * Creates an empty table of requests that may have crashed backend servers.
 *
 * @param options - bounds and durations
 * @returns the table
 */
export function createSuspectTable(options: RetryOptions): SuspectTable {
    return { rows: new Map(), options };
}

function isExpired(row: SuspectRow, now: Milliseconds, options: RetryOptions): boolean {
    const duration = row.condemned ? options.condemnedDuration : options.suspicionDuration;
    return now - row.changedAt > duration;
}

/**
 * Finds the row to evict: the oldest one that is not condemned, since a condemned request whose row is evicted would
 * crash servers again. If all are condemned, the oldest one is evicted.
 */
function findEvictable(table: SuspectTable): Fingerprint | undefined {
    let oldest: Fingerprint | undefined;
    for (const row of table.rows.values()) {
        if (!row.condemned) {
            return row.fingerprint;
        }
        oldest ??= row.fingerprint;
    }
    return oldest;
}

function storeRow(table: SuspectTable, row: SuspectRow): void {
    // Reinserted at the end, so that the row that was stored longest ago comes first.
    table.rows.delete(row.fingerprint);
    while (table.rows.size >= table.options.maximumSuspects) {
        table.rows.delete(findEvictable(table)!);
    }
    table.rows.set(row.fingerprint, row);
}

function readRow(table: SuspectTable, fingerprint: Fingerprint, now: Milliseconds): SuspectRow | undefined {
    const row = table.rows.get(fingerprint);
    if (row !== undefined && isExpired(row, now, table.options)) {
        table.rows.delete(fingerprint);
        return undefined;
    }
    return row;
}

/**
 * Records the crash of a backend server.
 *
 * @param table - table to change
 * @param fingerprints - fingerprints of the requests that this process had in progress on the server
 * @param now - monotonic time
 * @param ranAlone - true only if the request was sent to run alone, since other entry instances may have requests on
 * the server that this process does not know of. Default: true for a single fingerprint.
 * @returns the changed rows, to be shared with the other entry instances at once
 */
export function reportCrash(
    table: SuspectTable,
    fingerprints: readonly Fingerprint[],
    now: Milliseconds,
    ranAlone: boolean = fingerprints.length === 1,
): readonly SuspectRow[] {
    return [...new Set(fingerprints)].map(fingerprint => {
        const previous = readRow(table, fingerprint, now);
        const crashes = (previous?.crashes ?? 0) + 1;
        const crashesAlone = (previous?.crashesAlone ?? 0) + (ranAlone ? 1 : 0);
        // The first crash may be the server's own fault, even with a single request in progress.
        const condemned = previous?.condemned === true || (ranAlone && crashes >= table.options.maximumCrashes);
        const row: SuspectRow = { fingerprint, crashes, crashesAlone, condemned, cleared: false, changedAt: now };
        storeRow(table, row);
        return row;
    });
}

/**
 * Clears a suspect request that finished while it ran alone on its backend server.
 *
 * @param table - table to change
 * @param fingerprint - fingerprint of the request
 * @param now - monotonic time
 * @returns the changed row, to be shared with the other entry instances; empty if the request is not a suspect or is
 * condemned
 */
export function reportSuccessAlone(
    table: SuspectTable,
    fingerprint: Fingerprint,
    now: Milliseconds,
): readonly SuspectRow[] {
    const previous = readRow(table, fingerprint, now);
    if (previous === undefined || previous.condemned || previous.cleared) {
        return [];
    }
    const row: SuspectRow = { ...previous, cleared: true, changedAt: now };
    storeRow(table, row);
    return [row];
}

/**
 * Reads how a request has to be treated. A condemned request that is sent again stays condemned for the full duration
 * from then on, so that a caller that keeps sending it causes no further crash.
 *
 * @param table - table; the age of a condemned row is reset
 * @param fingerprint - fingerprint of the request
 * @param now - monotonic time
 * @returns the standing
 */
export function readStanding(table: SuspectTable, fingerprint: Fingerprint, now: Milliseconds): SuspectStanding {
    const row = readRow(table, fingerprint, now);
    if (row === undefined) {
        return "clear";
    }
    if (row.condemned) {
        storeRow(table, { ...row, changedAt: now });
        return "condemned";
    }
    return row.cleared ? "clear" : "suspect";
}

/**
 * Merges two rows of one fingerprint. The merged row is cleared if a row with the higher number of crashes is cleared:
 * a row with fewer crashes cannot clear it, as it may not know of the last crash.
 */
function mergeRows(left: SuspectRow, right: SuspectRow): SuspectRow {
    const crashes = Math.max(left.crashes, right.crashes);
    const cleared = (left.crashes === crashes && left.cleared) || (right.crashes === crashes && right.cleared);
    return {
        fingerprint: left.fingerprint,
        crashes,
        crashesAlone: Math.max(left.crashesAlone, right.crashesAlone),
        condemned: left.condemned || right.condemned,
        cleared,
        changedAt: Math.max(left.changedAt, right.changedAt),
    };
}

/**
 * Merges rows of another entry instance. The order and the number of merges do not matter.
 *
 * @param table - table to change
 * @param rows - rows of the other table, with `changedAt` converted to this process's monotonic clock
 * @param now - monotonic time
 * @returns the rows whose crashes or standing changed, to be passed on to further entry instances
 */
export function mergeSuspects(
    table: SuspectTable,
    rows: readonly SuspectRow[],
    now: Milliseconds,
): readonly SuspectRow[] {
    const changed: SuspectRow[] = [];
    for (const row of rows) {
        if (isExpired(row, now, table.options)) {
            continue;
        }
        const previous = readRow(table, row.fingerprint, now);
        const merged = previous === undefined ? { ...row } : mergeRows(previous, row);
        storeRow(table, merged);
        if (
            previous === undefined || previous.crashes !== merged.crashes || previous.condemned !== merged.condemned ||
            previous.cleared !== merged.cleared
        ) {
            changed.push(merged);
        }
    }
    return changed;
}
