import type { ConfigurationRow, DeploymentDeclaration, DeploymentName } from "../../types/index.js";
import { version2Defaults } from "../declaration/index.js";

/** Content of a revision, without its number, offset, writer and time. */
export type ConfigurationContent = Pick<
    ConfigurationRow,
    "kind" | "weights" | "replicas" | "pool" | "objective" | "priority" | "updateStrategy"
>;

/** Difference between two revisions in one field. */
export interface FieldChange {
    readonly field: string;
    /** Undefined if the older revision does not have the field. */
    readonly from: string | undefined;
    /** Undefined if the newer revision does not have the field. */
    readonly to: string | undefined;
}

/**
 * Computes the content of the revision that a declaration would create. Schema version 1 leaves the fields of schema
 * version 2 as they are.
 *
 * @param row - row in force; undefined for a new deployment
 * @param deployment - the deployment
 * @param declaration - the declaration
 * @returns the content of the next revision
 */
export function predictContent(
    row: ConfigurationRow | undefined,
    deployment: DeploymentName,
    declaration: DeploymentDeclaration,
): ConfigurationContent {
    const { objective, priority, updateStrategy } = declaration.schemaVersion === 2 ?
        declaration :
        row ?? version2Defaults;
    return {
        kind: declaration.kind,
        weights: declaration.weights,
        replicas: declaration.replicas,
        pool: declaration.pool ?? deployment,
        objective,
        priority,
        updateStrategy,
    };
}

function listFields(content: ConfigurationContent): Map<string, string> {
    const { weights, replicas } = content;
    const fields: Record<string, string | undefined> = {
        kind: content.kind,
        model: weights?.model,
        adapter: weights?.adapter === "" ? undefined : weights?.adapter,
        version: weights?.version,
        manifestDigest: weights?.manifestDigest,
        pool: content.pool,
        objective: content.objective,
        priority: String(content.priority),
        updateStrategy: content.updateStrategy,
    };
    const counts = Object.keys(replicas).sort().map(zone => [`replicas.${zone}`, String(replicas[zone])] as const);
    const presentFields = Object.entries(fields).filter((field): field is [string, string] => field[1] !== undefined);
    return new Map([...presentFields, ...counts]);
}

/**
 * Compares two revisions.
 *
 * @param before - content in force; undefined for a new deployment
 * @param after - content of the next revision
 * @returns the fields that differ
 */
export function compareContent(before: ConfigurationContent | undefined, after: ConfigurationContent): FieldChange[] {
    const left = before === undefined ? new Map<string, string>() : listFields(before);
    const right = listFields(after);
    return [...new Set([...left.keys(), ...right.keys()])]
        .map(field => ({ field, from: left.get(field), to: right.get(field) }))
        .filter(({ from, to }) => from !== to);
}

/**
 * Counts the wanted copies of all availability zones.
 *
 * @param content - the revision; undefined for none
 * @returns the number of copies
 */
export function countReplicas(content: ConfigurationContent | undefined): number {
    return Object.values(content?.replicas ?? {}).reduce((sum, count) => sum + count, 0);
}
