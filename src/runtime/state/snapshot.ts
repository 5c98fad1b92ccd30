import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { ConfigurationRow, GoldcrestpointError, PlacementRow } from "../../types/index.js";
import { createError } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";
import { createFoldState } from "./createState.js";
import type { MutableFoldState } from "./createState.js";
import type { FoldState, StateSnapshot } from "./types.js";

type SnapshotContent = Omit<StateSnapshot, "digest">;

/**
 * Exports the state for a process that starts without one.
 *
 * @param state - the state
 * @returns rows in the order of their deployments, with a digest
 */
export function exportSnapshot(state: FoldState): StateSnapshot {
    const content: SnapshotContent = {
        appliedOffset: state.appliedOffset,
        configurations: sortRows(state.configurations.rows()),
        placements: sortRows(state.placements.rows()),
        marks: sortEntries(state.marks),
        unresolved: sortEntries(state.unresolved),
        ...(state.truncation === undefined ? {} : { truncation: state.truncation }),
    };
    return { ...content, digest: digestContent(content) };
}

/**
 * Builds the state from a snapshot.
 *
 * @param snapshot - snapshot of another process
 * @returns the state; `PEER_UNREACHABLE` if the digest does not match the content
 */
export function importSnapshot(snapshot: StateSnapshot): Result<FoldState, GoldcrestpointError> {
    const { digest, ...content } = snapshot;
    if (!isSnapshot(snapshot) || digestContent(content) !== digest) {
        return err(createError(
            "PEER_UNREACHABLE",
            "import state snapshot",
            "local",
            "The digest of the state snapshot does not match its content.",
        ));
    }
    const state: MutableFoldState = createFoldState();
    state.appliedOffset = content.appliedOffset;
    content.configurations.forEach(row => state.configurations.set(row.deployment, { ...row, weights: row.weights }));
    content.placements.forEach(row => state.placements.set(row.deployment, { ...row, nextOwners: row.nextOwners }));
    content.marks.forEach(([key, mark]) => state.marks.set(key, mark));
    content.unresolved.forEach(([key, chain]) => state.unresolved.set(key, { ...chain, head: chain.head }));
    const { truncation } = content;
    state.truncation = truncation === undefined ? undefined : { ...truncation, windowStart: truncation.windowStart };
    return ok(state);
}

function isSnapshot(snapshot: StateSnapshot): boolean {
    const { appliedOffset, configurations, placements, marks, unresolved } = snapshot;
    return Number.isSafeInteger(appliedOffset) && [configurations, placements, marks, unresolved].every(Array.isArray);
}

function sortRows<Row extends ConfigurationRow | PlacementRow>(rows: Iterable<Row>): Row[] {
    return [...rows].sort((left, right) => left.deployment < right.deployment ? -1 : 1);
}

function sortEntries<Value>(entries: ReadonlyMap<string, Value>): [string, Value][] {
    return [...entries].sort(([left], [right]) => left < right ? -1 : 1);
}

function digestContent(content: SnapshotContent): string {
    return computeDigest(JSON.stringify(sortFields(content)));
}

/** Sorts all fields by name, so that the JSON text is the same before and after transport. */
function sortFields(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(sortFields);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    const fields = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1);
    return Object.fromEntries(fields.map(([name, field]) => [name, sortFields(field)]));
}
