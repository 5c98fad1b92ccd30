import type {
    AvailabilityZone,
    DeploymentName,
    InstanceId,
    ManifestDigest,
    Milliseconds,
    Offset,
    Region,
} from "./identifiers.js";

/** Role of an instance. */
export type InstanceRole = "entry" | "backend-server";
/** State of an instance in the platform's list; `gone` if it was listed before and no longer is. */
export type InstanceState = "live" | "leaving" | "gone";

/** Instance in the platform's list, which shows changes with a delay. */
export interface InstanceRow {
    readonly instance: InstanceId;
    readonly role: InstanceRole;
    /** Pool of interchangeable backend servers, for example `scribe`; `entry` for entry instances. */
    readonly pool: string;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** `host:port` of the gRPC endpoint of the instance's entry or agent process. */
    readonly address: string;
    readonly state: InstanceState;
    /** Number of consecutive reads of the list in which the instance was absent. */
    readonly absentReads: number;
}

/**
 * Progress of one copy on one instance.
 *
 * `staging` covers the transfer, `complete` a verified set that is not active, `serving` an active one, `released` a
 * copy that the agent has unloaded.
 */
export type CopyPhase =
    | "waiting"
    | "staging"
    | "complete"
    | "activating"
    | "serving"
    | "unloading"
    | "released"
    | "lapsed";

/** What an agent reports about one copy. */
export interface CopyReport {
    readonly deployment: DeploymentName;
    readonly epoch: Offset;
    readonly version: string;
    readonly manifestDigest: ManifestDigest;
    readonly phase: CopyPhase;
    readonly chunksComplete: number;
    readonly chunksTotal: number;
}

/** Newest heartbeat of an agent, as an entry instance received it. */
export interface AgentObservation {
    readonly instance: InstanceId;
    readonly incarnation: string;
    /** Time of receipt, on the monotonic clock of the receiving process. */
    readonly heardAt: Milliseconds;
    readonly appliedOffset: Offset;
    readonly draining: boolean;
    readonly copies: readonly CopyReport[];
}
