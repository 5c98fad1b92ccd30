import type { ConfigurationRow, DeploymentName, Offset, PlacementRow } from "../../types/index.js";
import type { Table } from "../../utils/index.js";

/** What the fold did with a log entry. */
export type FoldOutcome =
    | "accepted"
    | "ignored-base"
    | "ignored-duplicate"
    | "awaiting-confirmation"
    | "out-of-order";

/** State that is derived from the log; changed only by the fold. */
export interface FoldState {
    /** Offset of the newest entry that was applied, accepted or not. */
    readonly appliedOffset: Offset;
    readonly configurations: Table<DeploymentName, ConfigurationRow>;
    readonly placements: Table<DeploymentName, PlacementRow>;
}

/** State as one process hands it to another. */
export interface StateSnapshot {
    readonly appliedOffset: Offset;
    readonly configurations: readonly ConfigurationRow[];
    readonly placements: readonly PlacementRow[];
    /** SHA-256 digest of the other fields. */
    readonly digest: string;
}
