import type { ConfigurationRow, DeploymentDeclaration, WeightSet } from "./deployment.js";
import type { AvailabilityZone, DeploymentName, InstanceId, Offset } from "./identifiers.js";

/** Chains of records in the platform's log; each deployment has one chain of each kind. */
export type RecordKind = "configuration" | "placement";

/** Whether an instance is to hold a copy or must release it. */
export type CopyState = "assigned" | "revoked";

/** One copy of a deployment's weights on one instance. */
export interface CopyAssignment {
    readonly instance: InstanceId;
    readonly zone: AvailabilityZone;
    /** Offset of the placement record that first assigned this copy; 0 in that record, until the fold sets it. */
    readonly epoch: Offset;
    /** Undefined for plain services. */
    readonly weights: WeightSet | undefined;
    readonly state: CopyState;
    /** Offset of the placement record that revoked the copy; 0 in that record, until the fold sets it. */
    readonly revokedAt?: Offset | undefined;
    /** Entry instances that may confirm the copy's hold while the log is unreachable. */
    readonly witnesses: readonly InstanceId[];
    /** Previous witnesses, which the holder may still ask until it has applied the newest record. */
    readonly previousWitnesses?: readonly InstanceId[] | undefined;
}

/** Fields of every record. */
export interface RecordHeader {
    /** UUID that identifies the record when its append is repeated. */
    readonly id: string;
    readonly deployment: DeploymentName;
    /** Offset of the newest accepted record of the same chain when this one was written; 0 for none. */
    readonly base: Offset;
    /** ISO 8601 time at which the record was written. */
    readonly writtenAt: string;
    readonly writer: string;
}

/** An operator's declaration, or a refresh of the declaration in force. */
export interface ConfigurationRecord extends RecordHeader {
    readonly kind: "configuration";
    readonly declaration: DeploymentDeclaration;
    /** Set by refreshes: the whole row, so that a configuration outlives the retention of its older records. */
    readonly refreshOf?: ConfigurationRow | undefined;
}

/** The whole placement of one deployment. */
export interface PlacementRecord extends RecordHeader {
    readonly kind: "placement";
    readonly configurationOffset: Offset;
    readonly copies: readonly CopyAssignment[];
    /** Instances among which idempotency keys are partitioned. */
    readonly owners: readonly InstanceId[];
    /** Owners after the change in progress; until it ends, no instance accepts keys whose owner changes. */
    readonly nextOwners?: readonly InstanceId[] | undefined;
}

/** Record of the platform's log. */
export type LogRecord = ConfigurationRecord | PlacementRecord;

/** Record with its position in the log. */
export interface LogEntry {
    readonly offset: Offset;
    /** Offset of the record before this one in the log; 0 for the first. */
    readonly previousOffset: Offset;
    readonly record: LogRecord;
}

/** Placement in force for one deployment. */
export interface PlacementRow {
    readonly deployment: DeploymentName;
    readonly offset: Offset;
    readonly configurationOffset: Offset;
    readonly writtenAt: string;
    readonly copies: readonly CopyAssignment[];
    readonly owners: readonly InstanceId[];
    readonly nextOwners: readonly InstanceId[] | undefined;
}
