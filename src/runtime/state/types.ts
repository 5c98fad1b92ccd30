import type {
    ConfigurationRow,
    DeploymentName,
    LogEntry,
    Milliseconds,
    Offset,
    PlacementRow,
    RecordKind,
} from "../../types/index.js";
import type { Table } from "../../utils/index.js";

/**
 * Result of applying a log entry. `ignored-base` if its base is not the newest accepted record of the chain,
 * `ignored-malformed` if no row can be derived from it, `awaiting-confirmation` if a later record has to show whether it is accepted, `out-of-order` if it does not follow
 * the newest applied entry.
 */
export type FoldOutcome =
    | "accepted"
    | "ignored-base"
    | "ignored-duplicate"
    | "ignored-malformed"
    | "awaiting-confirmation"
    | "out-of-order";

/** Times that decide when the newest row of a chain has to be written again. */
export interface ChainMark {
    /** ISO 8601 time of the record on which the newest one is based; of the newest one itself if it has no base. */
    readonly baseWrittenAt: string;
    /** ISO 8601 time of the newest record from which alone the row can be derived. */
    readonly completeAt: string;
}

/** Chain whose newest accepted record is not yet known, since the log no longer holds its beginning. */
export interface UnresolvedChain {
    /** Records whose acceptance depends on expired ones. */
    readonly candidates: readonly LogEntry[];
    /** Newest record that is known to be accepted but does not contain the complete row. */
    readonly head: LogEntry | undefined;
}

/** First entry of the log after the oldest entries have expired. */
export interface TruncationPoint {
    readonly firstOffset: Offset;
    /** ISO 8601 time of the first entry that was applied after the gap; undefined before it. */
    readonly windowStart: string | undefined;
    readonly retention: Milliseconds;
}

/** State that is derived from the log; changed only by the fold. */
export interface FoldState {
    /** Offset of the newest entry that was applied, accepted or not. */
    readonly appliedOffset: Offset;
    readonly configurations: Table<DeploymentName, ConfigurationRow>;
    readonly placements: Table<DeploymentName, PlacementRow>;
    /** Times that decide on refreshes, by chain key. */
    readonly marks: Map<string, ChainMark>;
    /** Chains whose newest accepted record is not yet known, by chain key. */
    readonly unresolved: Map<string, UnresolvedChain>;
    /** Undefined if no entry is missing. */
    readonly truncation: TruncationPoint | undefined;
    /** Identifiers of the newest accepted records; bounded. */
    readonly recentIds: Set<string>;
    /** Identifiers of records that were accepted before those in `recentIds`; bounded. */
    readonly earlierIds: ReadonlySet<string>;
}

/** State as one process sends it to another. */
export interface StateSnapshot {
    readonly appliedOffset: Offset;
    readonly configurations: readonly ConfigurationRow[];
    readonly placements: readonly PlacementRow[];
    readonly marks: readonly (readonly [string, ChainMark])[];
    readonly unresolved: readonly (readonly [string, UnresolvedChain])[];
    readonly truncation?: TruncationPoint | undefined;
    /** SHA-256 digest of the other fields. */
    readonly digest: string;
}

/** Row that has to be written again before the log's retention expires. */
export interface DueRecord {
    readonly kind: RecordKind;
    readonly deployment: DeploymentName;
    /** `confirmation` if the newest record is recent and only the one it is based on is old. */
    readonly reason: "refresh" | "confirmation";
    /** Offset of the newest accepted record, on which the new one is based. */
    readonly base: Offset;
}
