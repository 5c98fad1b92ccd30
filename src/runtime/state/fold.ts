import type { LogEntry, Offset } from "../../types/index.js";
import { createChainKey } from "./createState.js";
import type { MutableFoldState } from "./createState.js";
import { createConfigurationRow, createPlacementRow, isSelfContained, measureWindow } from "./rows.js";
import type { FoldOutcome, FoldState, UnresolvedChain } from "./types.js";

/** Bounds the memory for duplicates; the base check ignores older ones too. */
const maximumRecentIds = 1_024;
/** A chain without a record in more than half of the retention does not exist, since refreshes come earlier. */
const refreshShare = 0.5;

/**
 * Applies the next entry of the log. The state only moves forward.
 *
 * @param state - the state; changed unless the outcome is `out-of-order`
 * @param entry - entry whose `previousOffset` is the applied offset, or the first one after a truncation
 * @returns what was done with the entry
 */
export function foldEntry(state: FoldState, entry: LogEntry): FoldOutcome {
    const mutable = state as MutableFoldState;
    if (!advance(mutable, entry)) {
        return "out-of-order";
    }
    const { record } = entry;
    if (record.kind === "placement") {
        // Proposers name only configurations that they have seen accepted.
        resolveCandidate(mutable, createChainKey("configuration", record.deployment), record.configurationOffset);
    }
    const key = createChainKey(record.kind, record.deployment);
    resolveCandidate(mutable, key, record.base);
    const outcome = judgeEntry(mutable, key, entry);
    // The base alone decides, since a process that started later does not know the identifiers of earlier records.
    return outcome === "ignored-base" && isKnownId(state, record.id) ? "ignored-duplicate" : outcome;
}

function isKnownId(state: FoldState, id: string): boolean {
    return state.recentIds.has(id) || state.earlierIds.has(id);
}

function advance(state: MutableFoldState, entry: LogEntry): boolean {
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

function readHead(state: FoldState, key: string, entry: LogEntry): Offset {
    const rows = entry.record.kind === "configuration" ? state.configurations : state.placements;
    return state.unresolved.get(key)?.head?.offset ?? rows.get(entry.record.deployment)?.offset ?? 0;
}

function judgeEntry(state: MutableFoldState, key: string, entry: LogEntry): FoldOutcome {
    const head = readHead(state, key, entry);
    const firstOffset = state.truncation?.firstOffset ?? 0;
    if (entry.record.base >= firstOffset) {
        return entry.record.base === head ? takeEntry(state, key, entry) : "ignored-base";
    }
    if (head >= firstOffset) {
        return "ignored-base";
    }
    if (startsChain(state, key, entry, head)) {
        return takeEntry(state, key, entry);
    }
    const chain = state.unresolved.get(key);
    state.unresolved.set(key, { candidates: [...chain?.candidates ?? [], entry], head: chain?.head });
    return "awaiting-confirmation";
}

/** A new chain is recognized by a retained window in which an older chain would have been refreshed. */
function startsChain(state: FoldState, key: string, entry: LogEntry, head: Offset): boolean {
    const { truncation } = state;
    if (entry.record.base !== 0 || head !== 0 || state.unresolved.has(key) || truncation?.windowStart === undefined) {
        return false;
    }
    return measureWindow(entry, truncation.windowStart) > truncation.retention * refreshShare;
}

/** Takes a candidate that a later record shows to be accepted. */
function resolveCandidate(state: MutableFoldState, key: string, offset: Offset): void {
    const candidate = state.unresolved.get(key)?.candidates.find(entry => entry.offset === offset);
    if (candidate !== undefined) {
        takeEntry(state, key, candidate);
    }
}

function takeEntry(state: MutableFoldState, key: string, entry: LogEntry): FoldOutcome {
    const baseWrittenAt = readBaseTime(state, key, entry);
    const isWhole = setRow(state, entry);
    rememberId(state, entry.record.id);
    const chain = state.unresolved.get(key);
    if (chain !== undefined || !isWhole) {
        updateUnresolved(state, key, chain, entry, isWhole);
    }
    if (!isWhole) {
        return "awaiting-confirmation";
    }
    const { record } = entry;
    const completeAt = record.kind === "placement" || isSelfContained(record) ?
        record.writtenAt :
        state.marks.get(key)?.completeAt ?? record.writtenAt;
    state.marks.set(key, { baseWrittenAt, completeAt });
    return "accepted";
}

function readBaseTime(state: FoldState, key: string, entry: LogEntry): string {
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
    isWhole: boolean,
): void {
    const candidates = (chain?.candidates ?? []).filter(entry =>
        entry.offset > accepted.offset && entry.record.base >= accepted.offset
    );
    if (isWhole && candidates.length === 0) {
        state.unresolved.delete(key);
        return;
    }
    state.unresolved.set(key, { candidates, head: isWhole ? undefined : accepted });
}

function rememberId(state: MutableFoldState, id: string): void {
    state.recentIds.add(id);
    if (state.recentIds.size > maximumRecentIds) {
        state.earlierIds = state.recentIds;
        state.recentIds = new Set();
    }
}
