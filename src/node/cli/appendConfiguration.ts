import { err, ok, type Result } from "true-myth/result";
import {
    type ConfigurationRecord,
    type ConfigurationRow,
    createError,
    type DeploymentDeclaration,
    type DeploymentName,
    type GoldcrestpointError,
    type PortResult,
} from "../../types/index.js";
import type { LogReader } from "./logReader.js";
import type { OperatorContext } from "./types.js";

/** Change of a deployment's configuration. */
export interface ConfigurationChange {
    readonly deployment: DeploymentName;
    /** Revision on which the change is based; 0 for a new deployment. The change is refused if a newer one exists. */
    readonly revision: number;
    readonly declaration: DeploymentDeclaration;
}

const step = "append configuration record";
/** Pause after the first failed attempt; doubled after each further one. */
const firstRetryPauseMilliseconds = 200;

function createRecord(context: OperatorContext, reader: LogReader, change: ConfigurationChange): ConfigurationRecord {
    return {
        kind: "configuration",
        id: context.ports.createId(),
        deployment: change.deployment,
        base: reader.state.configurations.get(change.deployment)?.offset ?? 0,
        writtenAt: context.ports.clock.now().toISOString(),
        writer: context.settings.operator.name,
        declaration: change.declaration,
    };
}

/**
 * Checks that a change is still based on the newest revision.
 *
 * @param row - newest row of the deployment; undefined if it has none
 * @param change - the change
 * @returns nothing; otherwise `CONFIGURATION_CONFLICT` with the revision in force in the message
 */
export function checkRevision(
    row: ConfigurationRow | undefined,
    change: Pick<ConfigurationChange, "deployment" | "revision">,
): Result<void, GoldcrestpointError> {
    const { deployment, revision } = change;
    if ((row?.revision ?? 0) === revision) {
        return ok(undefined);
    }
    const found = row === undefined ?
        "there is no configuration yet (revision 0)" :
        `revision ${row.revision}, written by ${row.writer} at ${row.writtenAt}, is in force`;
    const message = `${deployment}: the change is based on revision ${revision}, but ${found}. ` +
        `Nothing was changed. Review the change with plan and apply it again with --base ${row?.revision ?? 0}.`;
    return err(createError("CONFIGURATION_CONFLICT", step, "log", message));
}

type AppendOutcome =
    | { readonly kind: "accepted"; readonly row: ConfigurationRow; }
    | { readonly kind: "rebase"; }
    | { readonly kind: "again"; readonly error: GoldcrestpointError; }
    | { readonly kind: "failed"; readonly error: GoldcrestpointError; };

function describeUnknownOutcome(change: ConfigurationChange, cause: GoldcrestpointError): GoldcrestpointError {
    const message =
        `${change.deployment}: the outcome of the append is unknown, and the record may still take effect. ` +
        `Run plan to see the revision in force before applying again. (${cause.message})`;
    return createError("APPEND_AMBIGUOUS", step, "log", message, { mayHaveTakenEffect: true, cause });
}

/** Reads the outcome of an append from the log, regardless of what the append itself returned. */
async function readOutcome(
    reader: LogReader,
    record: ConfigurationRecord,
    change: ConfigurationChange,
    appendError: GoldcrestpointError | undefined,
): Promise<AppendOutcome> {
    const read = await reader.readToHead();
    if (read.isErr) {
        return { kind: "again", error: describeUnknownOutcome(change, read.error) };
    }
    const accepted = reader.findAccepted(record.id);
    if (accepted !== undefined) {
        return { kind: "accepted", row: accepted };
    }
    const row = reader.state.configurations.get(change.deployment);
    if ((row?.offset ?? 0) === record.base) {
        const notInLog = createError("LOG_UNREACHABLE", step, "log", "the record is not in the log yet");
        return { kind: "again", error: describeUnknownOutcome(change, appendError ?? notInLog) };
    }
    const checked = checkRevision(row, change);
    // A refresh changes the offset of the row but not its revision. The record still has the old offset as its base, so
    // it can no longer be accepted.
    return checked.isErr ? { kind: "failed", error: checked.error } : { kind: "rebase" };
}

async function attemptAppend(
    context: OperatorContext,
    reader: LogReader,
    record: ConfigurationRecord,
    change: ConfigurationChange,
    mayBeInLog: boolean,
): Promise<AppendOutcome> {
    const appended = await context.ports.log.append(record);
    if (appended.isErr && !appended.error.mayHaveTakenEffect && !mayBeInLog) {
        return { kind: "again", error: appended.error };
    }
    return readOutcome(reader, record, change, appended.isErr ? appended.error : undefined);
}

/**
 * Appends a change of configuration and determines whether it was accepted. A repeated attempt uses the same record id
 * and base, so that at most one of the appends is accepted.
 *
 * @param context - ports and settings
 * @param reader - reader of the log, at the state on which the change is based
 * @param change - the change
 * @returns the accepted row; `CONFIGURATION_CONFLICT` if another change was accepted first, `LOG_UNREACHABLE` if
 * nothing was appended, `APPEND_AMBIGUOUS` if the outcome could not be determined
 */
export async function appendConfiguration(
    context: OperatorContext,
    reader: LogReader,
    change: ConfigurationChange,
): PortResult<ConfigurationRow> {
    const { appendAttempts } = context.settings.operator;
    let record = createRecord(context, reader, change);
    let mayBeInLog = false;
    let lastError = createError("LOG_UNREACHABLE", step, "log", "no attempt was made");
    for (let attempt = 0; attempt < appendAttempts; attempt++) {
        const outcome = await attemptAppend(context, reader, record, change, mayBeInLog);
        if (outcome.kind === "accepted") {
            return ok(outcome.row);
        }
        if (outcome.kind === "failed") {
            return err(outcome.error);
        }
        if (outcome.kind === "rebase") {
            record = createRecord(context, reader, change);
            mayBeInLog = false;
            lastError = createError(
                "LOG_UNREACHABLE",
                step,
                "log",
                "the configuration was refreshed during each attempt",
            );
            continue;
        }
        lastError = outcome.error;
        mayBeInLog ||= outcome.error.mayHaveTakenEffect;
        if (attempt + 1 < appendAttempts && !await context.ports.pause(firstRetryPauseMilliseconds * 2 ** attempt)) {
            break;
        }
    }
    return err(lastError);
}
