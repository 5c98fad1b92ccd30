import { err, ok } from "true-myth/result";
import { countReplicas, type FieldChange } from "../compareContent.js";
import { exitCodes } from "../exitCodes.js";
import type { CommandHandler } from "../types.js";
import { prepareChange, type PreparedChange } from "./prepareChange.js";

/**
 * Renders the fields that change, one per line.
 *
 * @param differences - the fields
 * @returns the indented lines
 */
export function renderDifferences(differences: readonly FieldChange[]): string {
    const width = Math.max(0, ...differences.map(({ field }) => field.length));
    return differences
        .map(({ field, from, to }) => `  ${field.padEnd(width)}  ${from ?? "(none)"} -> ${to ?? "(none)"}`)
        .join("\n");
}

function renderPlan(path: string, prepared: PreparedChange): string {
    const { change, row, content, differences, manifest } = prepared;
    const base = row === undefined ?
        "new deployment" :
        `revision ${row.revision} by ${row.writer} at ${row.writtenAt}`;
    if (differences.length === 0) {
        return `${change.deployment}: no change (${base})`;
    }
    const weights = manifest === undefined ?
        [] :
        [`weights: ${manifest.totalBytes} bytes in ${manifest.chunks.length} chunks`];
    return [
        `${change.deployment}: based on ${base}`,
        renderDifferences(differences),
        `copies: ${countReplicas(row)} -> ${countReplicas(content)}`,
        ...weights,
        `apply with: goldcrestpoint apply ${path} --base ${change.revision}`,
    ].join("\n");
}

/**
 * Shows what `apply` would change.
 *
 * @param context - ports and output
 * @param path - path of the declaration
 * @param options - options of the command
 * @returns the exit code, or the error
 */
export const plan: CommandHandler = async (context, path, options) => {
    const prepared = await prepareChange(context, path, options);
    if (prepared.isErr) {
        return err(prepared.error);
    }
    const { change, row, content, differences, manifest } = prepared.value;
    context.emit({
        text: renderPlan(path, prepared.value),
        json: {
            deployment: change.deployment,
            baseRevision: change.revision,
            changes: differences,
            copiesBefore: countReplicas(row),
            copiesAfter: countReplicas(content),
            weightBytes: manifest?.totalBytes,
            manifestDigest: content.weights?.manifestDigest,
        },
    });
    return ok(exitCodes.success);
};
