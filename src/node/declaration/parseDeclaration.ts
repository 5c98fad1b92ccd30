import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { createProblemError, type IniFile, listIniValues, type SettingsProblem } from "../settings/index.js";
import { defineChoice, defineInteger, defineText, type KeyDefinition } from "../settings/keyDefinitions.js";
import { type DeclarationFile, version2Defaults, type Version2Fields } from "./declarationFile.js";

const deploymentKeys = {
    schema: defineInteger({ minimum: 1, maximum: 2, defaultValue: 2, documentation: "Schema version of the file." }),
    name: defineText("name", "unnamed", "Name of the deployment."),
    kind: defineChoice(["model", "service"], "A model that needs weights, or a plain service."),
    model: defineText("name", "unnamed", "Name of the model."),
    adapter: defineText("name", "", "Name of the adapter; empty for none."),
    version: defineText("name", "unnamed", "Version of model and adapter."),
    pool: defineText("name", "unnamed", "Pool of instances. Default: the deployment's name."),
    objective: defineChoice(["time", "origin-bytes"], "What the distribution of weights minimizes."),
    priority: defineInteger({ minimum: 0, maximum: 9, defaultValue: 5, documentation: "0 (lowest) to 9 (highest)." }),
    updateStrategy: defineChoice(["in-place", "rolling"], "How instances move to a new version."),
} as const;

type DeploymentKey = keyof typeof deploymentKeys;
type DeploymentValues = ReadonlyMap<string, string>;

const replicaCountDefinition = defineInteger({
    minimum: 0,
    maximum: 10_000,
    defaultValue: 0,
    documentation: "Wanted number of copies.",
});
const zoneNameDefinition = defineText("name", "unnamed", "Name of an availability zone.");
const version2Keys: readonly DeploymentKey[] = ["objective", "priority", "updateStrategy"];
const weightKeys: readonly DeploymentKey[] = ["model", "adapter", "version"];

/** Collects the problems of one file. */
interface ProblemReport {
    add(section: string, key: string, value: string | undefined, allowed: string): void;
}

function readKey<Value>(
    values: DeploymentValues,
    key: DeploymentKey,
    definition: KeyDefinition<Value>,
    report: ProblemReport,
): Value | undefined {
    const text = values.get(key);
    if (text === undefined) {
        return undefined;
    }
    const parsed = definition.schema.safeParse(text);
    if (!parsed.success) {
        report.add("deployment", key, text, definition.allowed);
    }
    return parsed.data;
}

function readRequired<Value>(
    values: DeploymentValues,
    key: DeploymentKey,
    definition: KeyDefinition<Value>,
    report: ProblemReport,
): Value | undefined {
    if (!values.has(key)) {
        report.add("deployment", key, undefined, definition.allowed);
    }
    return readKey(values, key, definition, report);
}

function rejectKeys(
    values: DeploymentValues,
    keys: readonly DeploymentKey[],
    allowed: string,
    report: ProblemReport,
): void {
    for (const key of keys) {
        if (values.has(key)) {
            report.add("deployment", key, values.get(key), allowed);
        }
    }
}

function readVersion2Fields(values: DeploymentValues, schema: number | undefined, report: ProblemReport) {
    if (schema === 1) {
        rejectKeys(values, version2Keys, "this key only with schema = 2", report);
        return undefined;
    }
    const fields: Version2Fields = {
        objective: readKey(values, "objective", deploymentKeys.objective, report) ?? version2Defaults.objective,
        priority: readKey(values, "priority", deploymentKeys.priority, report) ?? version2Defaults.priority,
        updateStrategy: readKey(values, "updateStrategy", deploymentKeys.updateStrategy, report) ??
            version2Defaults.updateStrategy,
    };
    return fields;
}

function readWeights(values: DeploymentValues, kind: string, report: ProblemReport) {
    if (kind === "service") {
        rejectKeys(values, weightKeys, "this key only with kind = model", report);
        return undefined;
    }
    return {
        model: readRequired(values, "model", deploymentKeys.model, report) ?? "",
        adapter: readKey(values, "adapter", deploymentKeys.adapter, report) ?? "",
        version: readRequired(values, "version", deploymentKeys.version, report) ?? "",
    };
}

function readReplicas(values: ReadonlyMap<string, string>, report: ProblemReport): Record<string, number> {
    const replicas: Record<string, number> = {};
    for (const [zone, text] of values) {
        const count = replicaCountDefinition.schema.safeParse(text);
        if (!zoneNameDefinition.schema.safeParse(zone).success) {
            report.add("replicas", zone, text, `an availability zone as the key (${zoneNameDefinition.allowed})`);
        }
        else if (!count.success) {
            report.add("replicas", zone, text, `${replicaCountDefinition.allowed} backend servers`);
        }
        else {
            replicas[zone] = count.data;
        }
    }
    if (values.size === 0) {
        report.add("replicas", "ZONE", undefined, "at least one availability zone with a count");
    }
    return replicas;
}

function groupBySection(file: IniFile, report: ProblemReport): Record<"deployment" | "replicas", Map<string, string>> {
    const values = { deployment: new Map<string, string>(), replicas: new Map<string, string>() };
    for (const { section, key, text } of listIniValues(file.content)) {
        if (section !== "deployment" && section !== "replicas") {
            report.add(section, key, text, "the sections deployment and replicas");
        }
        else if (section === "deployment" && !(key in deploymentKeys)) {
            report.add(section, key, text, `the keys ${Object.keys(deploymentKeys).join(", ")}`);
        }
        else {
            values[section].set(key, text);
        }
    }
    return values;
}

/**
 * Parses a declaration file.
 *
 * @param file - name and content of the INI file
 * @returns the content; `DECLARATION_INVALID` with one line for each problem
 */
export function parseDeclaration(file: IniFile): Result<DeclarationFile, GoldcrestpointError> {
    const problems: SettingsProblem[] = [];
    const report: ProblemReport = {
        add: (section, key, value, allowed) => problems.push({ source: file.name, section, key, value, allowed }),
    };
    const { deployment, replicas } = groupBySection(file, report);
    const schema = readRequired(deployment, "schema", deploymentKeys.schema, report);
    const kind = readKey(deployment, "kind", deploymentKeys.kind, report) ?? "model";
    const declaration: DeclarationFile = {
        deployment: readRequired(deployment, "name", deploymentKeys.name, report) ?? "",
        schemaVersion: schema === 1 ? 1 : 2,
        kind,
        weights: readWeights(deployment, kind, report),
        pool: readKey(deployment, "pool", deploymentKeys.pool, report),
        replicas: readReplicas(replicas, report),
        version2: readVersion2Fields(deployment, schema, report),
    };
    return problems.length > 0 ?
        err(createProblemError("DECLARATION_INVALID", "read declaration", problems)) :
        ok(declaration);
}
