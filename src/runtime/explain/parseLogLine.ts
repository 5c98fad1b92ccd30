import type { LogLine } from "./types.js";

/** Time in seconds and name of the process, which log collectors may write before a line. */
const prefixPattern = /^\s*(-?\d+(?:\.\d+)?)\s+\S+\s+(?=\{)/;

const millisecondsPerSecond = 1_000;

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function parseObject(text: string): Readonly<Record<string, unknown>> | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return isRecord(value) ? value : undefined;
    }
    catch {
        // A truncated line, or one of another program; the caller counts it.
        return undefined;
    }
}

/**
 * Reads one line of a log file.
 *
 * @param text - JSON line, with or without a common time and a name before it
 * @param position - position among all lines
 * @returns the line; undefined if it is truncated or was not written by this project's logger
 */
export function parseLogLine(text: string, position: number): LogLine | undefined {
    const prefix = prefixPattern.exec(text) ?? undefined;
    const fields = parseObject(prefix === undefined ? text : text.slice(prefix[0].length));
    const { instance, msg, time } = fields ?? {};
    const writtenAt = typeof time === "string" ? Date.parse(time) : NaN;
    // A decision that is logged late has the time at which it was made.
    const late = typeof fields?.["decidedAt"] === "string" ? writtenAt - Date.parse(fields["decidedAt"]) : 0;
    if (fields === undefined || typeof instance !== "string" || typeof msg !== "string" || Number.isNaN(writtenAt)) {
        return undefined;
    }
    const commonTime = prefix === undefined ? undefined : Number(prefix[1]) * millisecondsPerSecond - late;
    return { instance, writtenAt: writtenAt - late, commonTime, position, message: msg, fields };
}
