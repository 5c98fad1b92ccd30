import type { DeploymentDeclaration, DeploymentKind, ManifestDigest, SchemaVersion } from "../../types/index.js";
import type { DeploymentName, Objective, UpdateStrategy, WeightSet } from "../../types/index.js";

/** Fields that only schema version 2 defines. */
export interface Version2Fields {
    readonly objective: Objective;
    readonly priority: number;
    readonly updateStrategy: UpdateStrategy;
}

/** Content of an operator's declaration file, which does not contain the manifest digest. */
export interface DeclarationFile {
    readonly deployment: DeploymentName;
    readonly schemaVersion: SchemaVersion;
    readonly kind: DeploymentKind;
    /** Undefined for plain services. */
    readonly weights: Omit<WeightSet, "manifestDigest"> | undefined;
    readonly pool: string | undefined;
    readonly replicas: Readonly<Record<string, number>>;
    /** Undefined in schema version 1. */
    readonly version2: Version2Fields | undefined;
}

/** Defaults of the fields that only schema version 2 defines. */
export const version2Defaults: Version2Fields = { objective: "time", priority: 5, updateStrategy: "in-place" };

/**
 * Adds the manifest digest to the content of a file, which makes it the declaration that is written to the log.
 *
 * @param file - content of the file
 * @param manifestDigest - manifest digest of the model, adapter and version; undefined for plain services
 * @returns the declaration
 */
export function pinDeclaration(
    file: DeclarationFile,
    manifestDigest: ManifestDigest | undefined,
): DeploymentDeclaration {
    const weights = file.weights === undefined || manifestDigest === undefined ?
        undefined :
        { ...file.weights, manifestDigest };
    const base = {
        kind: file.kind,
        replicas: file.replicas,
        ...(weights === undefined ? {} : { weights }),
        ...(file.pool === undefined ? {} : { pool: file.pool }),
    };
    return file.version2 === undefined ?
        { schemaVersion: 1, ...base } :
        { schemaVersion: 2, ...base, ...file.version2 };
}
