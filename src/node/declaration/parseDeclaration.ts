import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { createProblemError, type IniFile, listIniValues, type SettingsProblem } from "../settings/index.js";
import { defineChoice, defineInteger, defineText, type KeyDefinition } from "../settings/keyDefinitions.js";
import { type DeclarationFile, version2Defaults, type Version2Fields } from "./declarationFile.js";

const deploymentKeys = {
    schema: defineInteger({ minimum: 1, maximum: 2, initial: 2, documentation: "Schema version of the file." }),
    name: defineText("name", "unnamed", "Name of the deployment."),
    kind: defineChoice(["model", "service"], "A model that needs weights, or a plain service."),
    model: defineText("name", "unnamed", "Name of the model."),
    adapter: defineText("name", "", "Name of the adapter; empty for none."),
    version: defineText("name", "unnamed", "Version of model and adapter."),
    pool: defineText("name", "unnamed", "Pool of instances. Default: the deployment's name."),
    objective: defineChoice(["time", "origin-bytes"], "Measure that the distribution of weights favours."),
    priority: defineInteger({ minimum: 0, maximum: 9, initial: 5, documentation: "0 (lowest) to 9 (highest)." }),
    updateStrategy: defineChoice(["in-place", "rolling"], "How instances move to a new version."),
} as const;

type DeploymentKey = keyof typeof deploymentKeys;
type DeploymentTexts = ReadonlyMap<string, string>;

const replicaCount = defineInteger({ minimum: 0, maximum: 10_000, initial: 0, documentation: "Wanted count." });
const zoneName = defineText("name", "unnamed", "Name of an availability zone.");
const version2Keys: readonly DeploymentKey[] = ["objective", "priority", "updateStrategy"];
const weightKeys: readonly DeploymentKey[] = ["model", "adapter", "version"];

/** Collects the faults of one file. */
interface Report {
    add(section: string, key: string, value: string | undefined, allowed: string): void;
}

function readKey<Value>(
    texts: DeploymentTexts,
    key: DeploymentKey,
    definition: KeyDefinition<Value>,
    report: Report,
): Value | undefined {
    const text = texts.get(key);
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
    texts: DeploymentTexts,
    key: DeploymentKey,
    definition: KeyDefinition<Value>,
    report: Report,
): Value | undefined {
    if (!texts.has(key)) {
        report.add("deployment", key, undefined, definition.allowed);
    }
    return readKey(texts, key, definition, report);
}

function refuseKeys(texts: DeploymentTexts, keys: readonly DeploymentKey[], allowed: string, report: Report): void {
    for (const key of keys) {
        if (texts.has(key)) {
            report.add("deployment", key, texts.get(key), allowed);
        }
    }
}

function readVersion2Fields(texts: DeploymentTexts, schema: number | undefined, report: Report) {
    if (schema === 1) {
        refuseKeys(texts, version2Keys, "this key only with schema = 2", report);
        return undefined;
    }
    const fields: Version2Fields = {
        objective: readKey(texts, "objective", deploymentKeys.objective, report) ?? version2Defaults.objective,
        priority: readKey(texts, "priority", deploymentKeys.priority, report) ?? version2Defaults.priority,
        updateStrategy: readKey(texts, "updateStrategy", deploymentKeys.updateStrategy, report) ??
            version2Defaults.updateStrategy,
    };
    return fields;
}

function readWeights(texts: DeploymentTexts, kind: string, report: Report) {
    if (kind === "service") {
        refuseKeys(texts, weightKeys, "this key only with kind = model", report);
        return undefined;
    }
    return {
        model: readRequired(texts, "model", deploymentKeys.model, report) ?? "",
        adapter: readKey(texts, "adapter", deploymentKeys.adapter, report) ?? "",
        version: readRequired(texts, "version", deploymentKeys.version, report) ?? "",
    };
}

function readReplicas(texts: ReadonlyMap<string, string>, report: Report): Record<string, number> {
    const replicas: Record<string, number> = {};
    for (const [zone, text] of texts) {
        const count = replicaCount.schema.safeParse(text);
        if (!zoneName.schema.safeParse(zone).success) {
            report.add("replicas", zone, text, `an availability zone as the key (${zoneName.allowed})`);
        }
        else if (!count.success) {
            report.add("replicas", zone, text, `${replicaCount.allowed} backend servers`);
        }
        else {
            replicas[zone] = count.data;
        }
    }
    if (texts.size === 0) {
        report.add("replicas", "ZONE", undefined, "at least one availability zone with a count");
    }
    return replicas;
}

function sortTexts(file: IniFile, report: Report): Record<"deployment" | "replicas", Map<string, string>> {
    const texts = { deployment: new Map<string, string>(), replicas: new Map<string, string>() };
    for (const { section, key, text } of listIniValues(file.content)) {
        if (section !== "deployment" && section !== "replicas") {
            report.add(section, key, text, "the sections deployment and replicas");
        }
        else if (section === "deployment" && !(key in deploymentKeys)) {
            report.add(section, key, text, `the keys ${Object.keys(deploymentKeys).join(", ")}`);
        }
        else {
            texts[section].set(key, text);
        }
    }
    return texts;
}

/**
 * Reads a declaration.
 *
 * @param file - content of the INI file
 * @returns the declaration; `DECLARATION_INVALID` with one line for each fault
 */
export function parseDeclaration(file: IniFile): Result<DeclarationFile, GoldcrestpointError> {
    const problems: SettingsProblem[] = [];
    const report: Report = {
        add: (section, key, value, allowed) => problems.push({ source: file.name, section, key, value, allowed }),
    };
    const { deployment, replicas } = sortTexts(file, report);
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
