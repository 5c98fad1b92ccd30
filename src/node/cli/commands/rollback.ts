import { err, ok, type Result } from "true-myth/result";
import {
    type ConfigurationRow,
    createError,
    type DeploymentDeclarationVersion2,
    type GoldcrestpointError,
} from "../../../types/index.js";
import { appendConfiguration } from "../appendConfiguration.js";
import { compareContent } from "../compareContent.js";
import { exitCodes } from "../exitCodes.js";
import { createLogReader, type LogReader } from "../logReader.js";
import type { CommandHandler } from "../types.js";
import { reportRevision } from "./apply.js";
import { readRevisionOption } from "./prepareChange.js";

const step = "find revision";

function findTarget(
    reader: LogReader,
    deployment: string,
    wanted: number | undefined,
): Result<{ readonly row: ConfigurationRow; readonly target: ConfigurationRow; }, GoldcrestpointError> {
    const row = reader.state.configurations.get(deployment);
    if (row === undefined) {
        const names = [...reader.state.configurations.keys()].sort().join(", ");
        const message = `deployment ${deployment} does not exist; existing ones: ${names === "" ? "none" : names}`;
        return err(createError("USAGE_INVALID", step, "log", message));
    }
    const older = reader.listRevisions(deployment).filter(({ revision }) => revision < row.revision);
    const target = wanted === undefined ? older.at(-1) : older.find(({ revision }) => revision === wanted);
    if (target === undefined) {
        const known = older.map(({ revision }) => revision).join(", ");
        const missing = wanted === undefined ? "no earlier revision" : `no earlier revision ${wanted}`;
        const message = `${deployment}: the log holds ${missing}; it holds: ${known === "" ? "none" : known}`;
        return err(createError("USAGE_INVALID", step, "log", message));
    }
    return ok({ row, target });
}

/** Creates a declaration of schema version 2, which contains every field, so that a rollback restores all of them. */
function restoreDeclaration(target: ConfigurationRow): DeploymentDeclarationVersion2 {
    const { kind, weights, replicas, pool, objective, priority, updateStrategy } = target;
    return { schemaVersion: 2, kind, weights, replicas, pool, objective, priority, updateStrategy };
}

/**
 * Writes a new revision with the content of an earlier one.
 *
 * @param context - ports and output
 * @param deployment - the deployment
 * @param options - options of the command; `to` is the revision to restore, default: the one before the newest
 * @returns the exit code; `CONFIGURATION_CONFLICT` if another operator's change was accepted first
 */
export const rollback: CommandHandler = async (context, deployment, options) => {
    const wanted = readRevisionOption(options, "to");
    if (wanted.isErr) {
        return err(wanted.error);
    }
    const reader = createLogReader(context.ports.log, context.ports.fold);
    const read = await reader.readToHead();
    const found = read.andThen(() => findTarget(reader, deployment, wanted.value));
    if (found.isErr) {
        return err(found.error);
    }
    const { row, target } = found.value;
    const differences = compareContent(row, target);
    if (differences.length === 0) {
        reportRevision(context, row, []);
        return ok(exitCodes.success);
    }
    const change = { deployment, revision: row.revision, declaration: restoreDeclaration(target) };
    const accepted = await appendConfiguration(context, reader, change);
    return accepted.map(next => {
        reportRevision(context, next, differences);
        return exitCodes.success;
    });
};
