import type { LogEntry, Offset } from "../../types/index.js";
import { createChainKey } from "./createState.js";
import type { MutableFoldState } from "./createState.js";
import { createConfigurationRow, createPlacementRow, isSelfContained, measureRetainedTime } from "./rows.js";
import type { FoldOutcome, FoldState, UnresolvedChain } from "./types.js";
import { isWellFormed } from "./wellFormed.js";

/** Identifiers in each of the two sets that detect duplicates; later repeats are ignored due to their old base. */
const maximumRecentIds = 1_024;
/** Share of the retention after which rows are refreshed; a chain that has no record for longer does not exist. */
const rowRefreshShare = 0.5;

/**
 * Applies the next entry of the log to the state. Entries are applied in order only, and none twice.
 *
 * @param state - the state; changed unless the outcome is `out-of-order`
 * @param entry - entry whose `previousOffset` is the applied offset, or the first one after a truncation
 * @returns what was done with the entry
 */
export function foldEntry(state: FoldState, entry: LogEntry): FoldOutcome {
    const mutableState = state as MutableFoldState;
    if (!advanceOffset(mutableState, entry)) {
        return "out-of-order";
    }
    const { record } = entry;
    if (!isWellFormed(record)) {
        return "ignored-malformed";
    }
    if (record.kind === "placement") {
        // Proposers name only accepted configurations, so this one must have been accepted.
        resolveCandidate(mutableState, createChainKey("configuration", record.deployment), record.configurationOffset);
    }
    const key = createChainKey(record.kind, record.deployment);
    resolveCandidate(mutableState, key, record.base);
    const outcome = decideOutcome(mutableState, key, entry);
    // Only the base decides, since a process that started later does not know the identifiers of earlier records.
    return outcome === "ignored-base" && isKnownId(state, record.id) ? "ignored-duplicate" : outcome;
}

function isKnownId(state: FoldState, id: string): boolean {
    return state.recentIds.has(id) || state.earlierIds.has(id);
}

function advanceOffset(state: MutableFoldState, entry: LogEntry): boolean {
    const { truncation } = state;
    const follows = entry.previousOffset === state.appliedOffset;
    if (truncation !== undefined && truncation.windowStart === undefined) {
        if (follows && state.appliedOffset > 0) {
            state.truncation = undefined;
        }
        else if (entry.offset >= truncation.firstOffset && entry.previousOffset < truncation.firstOffset) {
            state.truncation = { ...truncation, windowStart: entry.record.writtenAt };
        }
        else {
            return false;
        }
    }
    else if (!follows) {
        return false;
    }
    if (entry.offset <= state.appliedOffset) {
        return false;
    }
    state.appliedOffset = entry.offset;
    return true;
}

function getHeadOffset(state: FoldState, key: string, entry: LogEntry): Offset {
    const rows = entry.record.kind === "configuration" ? state.configurations : state.placements;
    return state.unresolved.get(key)?.head?.offset ?? rows.get(entry.record.deployment)?.offset ?? 0;
}

function decideOutcome(state: MutableFoldState, key: string, entry: LogEntry): FoldOutcome {
    const head = getHeadOffset(state, key, entry);
    const firstOffset = state.truncation?.firstOffset ?? 0;
    if (entry.record.base >= firstOffset) {
        return entry.record.base === head ? acceptEntry(state, key, entry) : "ignored-base";
    }
    if (head >= firstOffset) {
        return "ignored-base";
    }
    if (startsChain(state, key, entry, head)) {
        return acceptEntry(state, key, entry);
    }
    const chain = state.unresolved.get(key);
    state.unresolved.set(key, { candidates: [...chain?.candidates ?? [], entry], head: chain?.head });
    return "awaiting-confirmation";
}

/**
 * A record without a base starts a new chain if an older chain would have been refreshed in the retained log before it.
 */
function startsChain(state: FoldState, key: string, entry: LogEntry, head: Offset): boolean {
    const { truncation } = state;
    if (entry.record.base !== 0 || head !== 0 || state.unresolved.has(key) || truncation?.windowStart === undefined) {
        return false;
    }
    return measureRetainedTime(entry, truncation.windowStart) > truncation.retention * rowRefreshShare;
}

/** Accepts a candidate once a later record is based on it or names it. */
function resolveCandidate(state: MutableFoldState, key: string, offset: Offset): void {
    const candidate = state.unresolved.get(key)?.candidates.find(entry => entry.offset === offset);
    if (candidate !== undefined) {
        acceptEntry(state, key, candidate);
    }
}

function acceptEntry(state: MutableFoldState, key: string, entry: LogEntry): FoldOutcome {
    const baseWrittenAt = getBaseWrittenAt(state, key, entry);
    const isRowComplete = setRow(state, entry);
    rememberId(state, entry.record.id);
    const chain = state.unresolved.get(key);
    if (chain !== undefined || !isRowComplete) {
        updateUnresolved(state, key, chain, entry, isRowComplete);
    }
    if (!isRowComplete) {
        return "awaiting-confirmation";
    }
    const { record } = entry;
    const completeAt = record.kind === "placement" || isSelfContained(record) ?
        record.writtenAt :
        state.marks.get(key)?.completeAt ?? record.writtenAt;
    state.marks.set(key, { baseWrittenAt, completeAt });
    return "accepted";
}

function getBaseWrittenAt(state: FoldState, key: string, entry: LogEntry): string {
    const { record } = entry;
    const head = state.unresolved.get(key)?.head;
    if (head?.offset === record.base) {
        return head.record.writtenAt;
    }
    const rows = record.kind === "configuration" ? state.configurations : state.placements;
    const row = rows.get(record.deployment);
    return row !== undefined && row.offset === record.base ? row.writtenAt : record.writtenAt;
}

function setRow(state: FoldState, entry: LogEntry): boolean {
    const { record, offset } = entry;
    if (record.kind === "placement") {
        state.placements.set(record.deployment, createPlacementRow(record, offset));
        return true;
    }
    const current = state.configurations.get(record.deployment);
    const preceding = current?.offset === record.base ? current : undefined;
    const row = createConfigurationRow(record, offset, preceding);
    if (row === undefined) {
        return false;
    }
    state.configurations.set(record.deployment, row);
    return true;
}

function updateUnresolved(
    state: FoldState,
    key: string,
    chain: UnresolvedChain | undefined,
    accepted: LogEntry,
    isRowComplete: boolean,
): void {
    const candidates = (chain?.candidates ?? []).filter(entry =>
        entry.offset > accepted.offset && entry.record.base >= accepted.offset
    );
    if (isRowComplete && candidates.length === 0) {
        state.unresolved.delete(key);
        return;
    }
    state.unresolved.set(key, { candidates, head: isRowComplete ? undefined : accepted });
}

function rememberId(state: MutableFoldState, id: string): void {
    state.recentIds.add(id);
    if (state.recentIds.size > maximumRecentIds) {
        state.earlierIds = state.recentIds;
        state.recentIds = new Set();
    }
}
