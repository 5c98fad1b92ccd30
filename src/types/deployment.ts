import type { AvailabilityZone, DeploymentName, ManifestDigest, Offset } from "./identifiers.js";

/** Kind of the backend servers of a deployment: a model engine, which needs weights, or a plain service. */
export type DeploymentKind = "model" | "service";
/** What the distribution of weights minimizes: its duration, or the bytes read from the origin. */
export type Objective = "time" | "origin-bytes";
/** How instances move to a new version: all at once, or a few in each availability zone at a time. */
export type UpdateStrategy = "in-place" | "rolling";
/** Schema version of a deployment declaration. */
export type SchemaVersion = 1 | 2;

/** Model, adapter and version, which are activated atomically. */
export interface WeightSet {
    readonly model: string;
    readonly adapter: string;
    readonly version: string;
    readonly manifestDigest: ManifestDigest;
}

/** Fields that schema versions 1 and 2 share. */
export interface DeploymentDeclarationBase {
    readonly kind: DeploymentKind;
    /** Undefined for plain services. */
    readonly weights?: WeightSet | undefined;
    /** Desired number of backend servers in each availability zone. */
    readonly replicas: Readonly<Record<AvailabilityZone, number>>;
    /** Pool of instances that may serve the deployment. Default: the deployment's name. */
    readonly pool?: string | undefined;
}

/** Declaration under schema version 1. */
export interface DeploymentDeclarationVersion1 extends DeploymentDeclarationBase {
    readonly schemaVersion: 1;
}

/** Declaration under schema version 2. */
export interface DeploymentDeclarationVersion2 extends DeploymentDeclarationBase {
    readonly schemaVersion: 2;
    readonly objective: Objective;
    /** 0 (lowest) to 9 (highest); default 5. */
    readonly priority: number;
    readonly updateStrategy: UpdateStrategy;
}

/** Declaration of a deployment as an operator writes it. */
export type DeploymentDeclaration = DeploymentDeclarationVersion1 | DeploymentDeclarationVersion2;

/** Configuration in force for one deployment. */
export interface ConfigurationRow {
    readonly deployment: DeploymentName;
    /** Offset of the newest accepted configuration record. */
    readonly offset: Offset;
    /** Number of accepted changes by operators, from 1; refresh records do not increase it. */
    readonly revision: number;
    readonly writer: string;
    readonly writtenAt: string;
    /** Schema version of the newest record. */
    readonly schemaVersion: SchemaVersion;
    readonly kind: DeploymentKind;
    readonly weights: WeightSet | undefined;
    readonly replicas: Readonly<Record<AvailabilityZone, number>>;
    readonly pool: string;
    readonly objective: Objective;
    readonly priority: number;
    readonly updateStrategy: UpdateStrategy;
}
