import { err, ok, type Result } from "true-myth/result";
import {
    type ConfigurationRow,
    createError,
    type GoldcrestpointError,
    type Manifest,
    type ManifestDigest,
    type PortResult,
} from "../../../types/index.js";
import { type DeclarationFile, parseDeclaration, pinDeclaration } from "../../declaration/index.js";
import { readIniFile } from "../../settings/index.js";
import { checkRevision, type ConfigurationChange } from "../appendConfiguration.js";
import { compareContent, type ConfigurationContent, type FieldChange, predictContent } from "../compareContent.js";
import { createLogReader, type LogReader } from "../logReader.js";
import type { CommandOptions, OperatorContext } from "../types.js";

/** Change that a declaration describes, compared with the revision in force. */
export interface PreparedChange {
    readonly change: ConfigurationChange;
    readonly reader: LogReader;
    /** Revision in force; undefined for a new deployment. */
    readonly row: ConfigurationRow | undefined;
    /** Content of the next revision. */
    readonly content: ConfigurationContent;
    readonly differences: readonly FieldChange[];
    /** Undefined for plain services. */
    readonly manifest: Manifest | undefined;
}

/**
 * Reads an option that takes a revision.
 *
 * @param options - options of the command
 * @param name - name of the option without dashes
 * @returns the revision; undefined if the option is not given; `USAGE_INVALID` if it is not a whole number
 */
export function readRevisionOption(
    options: CommandOptions,
    name: string,
): Result<number | undefined, GoldcrestpointError> {
    const text = options[name];
    if (typeof text !== "string") {
        return ok(undefined);
    }
    if (!/^\d{1,15}$/.test(text)) {
        const message = `flag --${name} = ${JSON.stringify(text)}: allowed is a revision (a whole number from 0)`;
        return err(createError("USAGE_INVALID", "read flags", `flag --${name}`, message));
    }
    return ok(Number(text));
}

async function resolveManifest(
    context: OperatorContext,
    path: string,
    file: DeclarationFile,
): PortResult<Manifest | undefined> {
    if (file.weights === undefined) {
        return ok(undefined);
    }
    const { model, adapter, version } = file.weights;
    const manifest = await context.ports.origin.resolveManifest(model, adapter, version);
    const values = JSON.stringify({ model, adapter, version });
    return manifest.mapErr(error =>
        error.code === "MANIFEST_INVALID" ?
            {
                ...error,
                message:
                    `${path}: [deployment] ${values}: allowed is a weight set of the weight store (${error.message})`,
            } :
            error
    );
}

/**
 * Reads a declaration, adds the manifest digest of its weights and compares it with the revision in force.
 *
 * @param context - ports and settings
 * @param path - path of the declaration
 * @param options - options of the command; `base` is the revision on which the change is based
 * @returns the change; nothing is appended to the log
 */
export async function prepareChange(
    context: OperatorContext,
    path: string,
    options: CommandOptions,
): PortResult<PreparedChange> {
    const base = readRevisionOption(options, "base");
    if (base.isErr) {
        return err(base.error);
    }
    const file = readIniFile(path, "DECLARATION_INVALID").andThen(parseDeclaration);
    if (file.isErr) {
        return err(file.error);
    }
    const manifest = await resolveManifest(context, path, file.value);
    if (manifest.isErr) {
        return err(manifest.error);
    }
    const reader = createLogReader(context.ports.log, context.ports.fold);
    const read = await reader.readToHead();
    if (read.isErr) {
        return err(read.error);
    }
    const digest = manifest.value === undefined ? undefined : context.ports.computeManifestDigest(manifest.value);
    return compareWithState(reader, file.value, manifest.value, digest, base.value);
}

function compareWithState(
    reader: LogReader,
    file: DeclarationFile,
    manifest: Manifest | undefined,
    digest: ManifestDigest | undefined,
    base: number | undefined,
): Result<PreparedChange, GoldcrestpointError> {
    const { deployment } = file;
    const row = reader.state.configurations.get(deployment);
    const declaration = pinDeclaration(file, digest);
    const change = { deployment, revision: base ?? row?.revision ?? 0, declaration };
    const content = predictContent(row, deployment, declaration);
    const differences = compareContent(row, content);
    return checkRevision(row, change).map(() => ({ change, reader, row, content, differences, manifest }));
}
