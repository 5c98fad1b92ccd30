import { err, ok } from "true-myth/result";
import type { FoldState } from "../../runtime/state/types.js";
import type { ConfigurationRow, DeploymentName, LogEntry, LogPage, LogPort, PortResult } from "../../types/index.js";
import type { FoldPort } from "./types.js";

/** Reads the log for an operator command and derives the state from it. */
export interface LogReader {
    readonly state: FoldState;
    /** Reads from where the last read ended to the newest record. */
    readToHead(): PortResult<void>;
    /** Returns the row that a record created; undefined if the record was not accepted or is not in the log. */
    findAccepted(recordId: string): ConfigurationRow | undefined;
    /** Lists the revisions of a deployment that the log still holds, oldest first. */
    listRevisions(deployment: DeploymentName): readonly ConfigurationRow[];
}

/**
 * Creates a reader that starts at the beginning of the log.
 *
 * @param log - the platform's log
 * @param fold - functions that apply log records to the state
 * @returns the reader; nothing is read yet
 */
export function createLogReader(log: LogPort, fold: FoldPort): LogReader {
    const state = fold.createFoldState();
    const acceptedRows = new Map<string, ConfigurationRow>();
    const revisions = new Map<DeploymentName, Map<number, ConfigurationRow>>();

    function apply(entry: LogEntry): void {
        const { record } = entry;
        const outcome = fold.foldEntry(state, entry);
        const row = state.configurations.get(record.deployment);
        if (record.kind !== "configuration" || row === undefined) {
            return;
        }
        if (outcome === "accepted") {
            acceptedRows.set(record.id, row);
        }
        const known = revisions.get(record.deployment) ?? new Map<number, ConfigurationRow>();
        revisions.set(record.deployment, known);
        known.set(row.revision, row);
    }

    function applyPage(page: LogPage): void {
        const first = page.entries[0];
        if (state.appliedOffset === 0 && first !== undefined && first.previousOffset > 0) {
            fold.beginAfterTruncation(state, page.firstOffset);
        }
        page.entries.forEach(apply);
    }

    return {
        state,
        readToHead: async () => {
            for (;;) {
                const page = await log.read(state.appliedOffset, 0);
                if (page.isErr) {
                    return err(page.error);
                }
                applyPage(page.value);
                if (page.value.entries.length === 0 || state.appliedOffset >= page.value.headOffset) {
                    return ok(undefined);
                }
            }
        },
        findAccepted: recordId => acceptedRows.get(recordId),
        listRevisions: deployment =>
            [...revisions.get(deployment)?.values() ?? []].sort((left, right) => left.revision - right.revision),
    };
}
