import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { err, ok, type Result } from "true-myth/result";
import {
    explainRequest,
    type Explanation,
    type LogLine,
    parseLogLine,
    type TimelineEntry,
} from "../../../runtime/explain/index.js";
import { createError, type GoldcrestpointError, type RequestId } from "../../../types/index.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import type { OperatorContext } from "../types.js";

/** Smallest clock difference that is shown; smaller ones may come from the collection of log lines alone. */
const minimumShownClockDifferenceMilliseconds = 20;

/** Fields that are not listed at the end of a rendered line, since it shows them elsewhere or not at all. */
const fieldsShownElsewhere: ReadonlySet<string> = new Set(["level", "time", "instance", "program", "msg", "requestId"]);

interface LogFiles {
    readonly lines: readonly LogLine[];
    /** Number of lines that are truncated or were not written by one of this project's programs. */
    readonly skippedCount: number;
}

async function readLogFiles(files: readonly string[]): Promise<Result<LogFiles, GoldcrestpointError>> {
    const lines: LogLine[] = [];
    let skippedCount = 0;
    for (const file of files) {
        try {
            for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
                const line = parseLogLine(text, lines.length);
                if (line === undefined) {
                    skippedCount += text === "" ? 0 : 1;
                }
                else {
                    lines.push(line);
                }
            }
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            return err(createError("USAGE_INVALID", "read log file", file, message));
        }
    }
    return ok({ lines, skippedCount });
}

function renderEntry({ after, clockAhead, line, relation }: TimelineEntry): string {
    const difference = Math.round(clockAhead ?? 0);
    const clock = Math.abs(difference) >= minimumShownClockDifferenceMilliseconds ?
        ` (its clock is ${Math.abs(difference)} ms ${difference > 0 ? "ahead" : "behind"})` :
        "";
    const values = Object.entries(line.fields)
        .filter(([name]) => !fieldsShownElsewhere.has(name))
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    const mark = relation === "request" ? "*" : " ";
    return `${mark} ${after.toFixed(1).padStart(9)} ms ${line.instance}${clock} ${line.message} ${values.join(" ")}`;
}

function renderExplanation(explanation: Explanation): string {
    const { causes, clocksCompared, instances, requestId, timeline } = explanation;
    return [
        `request ${requestId}`,
        ...(causes.length === 0 ? ["no line reports a refusal or a failure"] : causes.map(cause => `- ${cause}`)),
        "",
        ...timeline.map(renderEntry),
        "",
        clocksCompared || instances.length === 1 ?
            `lines of ${instances.length} processes, marked * if they name the request` :
            `lines of ${instances.length} processes, ordered by their own clocks, whose differences are unknown`,
    ].join("\n");
}

/**
 * Explains a request from log files alone.
 *
 * @param context - output
 * @param requestId - the request
 * @param files - log files of any processes, in any order
 * @returns exit code 1 if no line is about the request; `USAGE_INVALID` if a file cannot be read
 */
export async function explainFromLogs(
    context: Pick<OperatorContext, "emit" | "warn">,
    requestId: RequestId,
    files: readonly string[],
): Promise<Result<ExitCode, GoldcrestpointError>> {
    const read = await readLogFiles(files);
    if (read.isErr) {
        return err(read.error);
    }
    const { lines, skippedCount } = read.value;
    if (skippedCount > 0) {
        context.warn(`skipped ${skippedCount} lines that are truncated or were written by other programs`);
    }
    const explanation = explainRequest(lines, requestId);
    if (explanation === undefined) {
        const text =
            `no line is about ${requestId}; successful routing decisions may be logged for a share of requests only`;
        context.emit({ text, json: { requestId, causes: [], timeline: [], lines: lines.length } });
        return ok(exitCodes.failure);
    }
    context.emit({ text: renderExplanation(explanation), json: explanation });
    return ok(exitCodes.success);
}
