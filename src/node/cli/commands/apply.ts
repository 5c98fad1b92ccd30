import { err, ok } from "true-myth/result";
import type { ConfigurationRow } from "../../../types/index.js";
import { appendConfiguration } from "../appendConfiguration.js";
import type { FieldChange } from "../compareContent.js";
import { exitCodes } from "../exitCodes.js";
import type { CommandHandler, OperatorContext } from "../types.js";
import { renderDifferences } from "./plan.js";
import { prepareChange } from "./prepareChange.js";

/**
 * Reports an accepted revision, or that nothing had to be changed.
 *
 * @param context - output
 * @param row - the revision in force
 * @param differences - the fields that changed; empty if nothing was appended
 */
export function reportRevision(
    context: OperatorContext,
    row: ConfigurationRow,
    differences: readonly FieldChange[],
): void {
    const { deployment, revision, offset } = row;
    const changed = differences.length > 0;
    const headline = changed ?
        `${deployment}: revision ${revision} accepted at offset ${offset}` :
        `${deployment}: revision ${revision} is in force already, nothing appended`;
    context.emit({
        text: [headline, ...(changed ? [renderDifferences(differences)] : [])].join("\n"),
        json: {
            deployment,
            revision,
            offset,
            changed,
            changes: differences,
            manifestDigest: row.weights?.manifestDigest,
        },
    });
}

/**
 * Applies a declaration.
 *
 * @param context - ports and output
 * @param path - path of the declaration
 * @param options - options of the command
 * @returns the exit code; `CONFIGURATION_CONFLICT` if another operator's change was accepted first
 */
export const apply: CommandHandler = async (context, path, options) => {
    const prepared = await prepareChange(context, path, options);
    if (prepared.isErr) {
        return err(prepared.error);
    }
    const { change, reader, row, differences } = prepared.value;
    if (row !== undefined && differences.length === 0) {
        reportRevision(context, row, []);
        return ok(exitCodes.success);
    }
    const accepted = await appendConfiguration(context, reader, change);
    return accepted.map(next => {
        reportRevision(context, next, differences);
        return exitCodes.success;
    });
};
