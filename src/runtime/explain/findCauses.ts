import type { LogLine } from "./types.js";

/** Formats a field as text; a question mark if the line does not have it. */
function show(line: LogLine, field: string): string {
    const value = line.fields[field];
    return typeof value === "string" || typeof value === "number" || typeof value === "boolean" ? String(value) : "?";
}

/** Describes why a line refused, rejected or failed its request; undefined if it did not. */
type CauseFormatter = (line: LogLine) => string | undefined;

const rejectionFormatters: Readonly<Record<string, CauseFormatter>> = {
    "no-route": line =>
        `answered ${show(line, "status")}: configuration ${show(line, "revision")} has no route for ` +
        `${show(line, "host")}${show(line, "path")}`,
    "no-configuration": line => `answered ${show(line, "status")}: the gateway knew no configuration yet`,
    "body-too-large": line => `answered ${show(line, "status")}: the body is larger than the configuration allows`,
    "transfer-coding": line => `answered ${show(line, "status")}: the body has a transfer coding other than chunked`,
};

/** Finds a formatter by a text of a log line, which may also be the name of a property that every object has. */
function findFormatter(
    formatters: Readonly<Record<string, CauseFormatter>>,
    name: string,
): CauseFormatter | undefined {
    return Object.hasOwn(formatters, name) ? formatters[name] : undefined;
}

function formatRejection(line: LogLine): string {
    const reason = show(line, "reason");
    return findFormatter(rejectionFormatters, reason)?.(line) ??
        `answered ${show(line, "status")}: ${reason} by configuration ${show(line, "revision")}`;
}

/** Formats the numbers from which the places of a gateway were computed; empty if the line does not have them. */
function formatCapacity(line: LogLine): string {
    if (line.fields["usable"] === undefined) {
        return "";
    }
    // Lines of earlier releases do not have the number.
    const unverified = line.fields["unverified"] === undefined ?
        "" :
        `, ${show(line, "unverified")} with unverified weights`;
    const unavailable = `${show(line, "draining")} draining, ${show(line, "ejected")} ejected, ` +
        `${show(line, "notServing")} not serving${unverified}, ${show(line, "paused")} paused`;
    return ` (${show(line, "usable")} usable backend servers with ${show(line, "free")} free places, wanted by ` +
        `${show(line, "contenders")} of ${show(line, "gateways")} gateways; left out: ${unavailable})`;
}

function formatAdmission(line: LogLine): string | undefined {
    if (line.fields["outcome"] === "chosen") {
        return undefined;
    }
    if (line.fields["reason"] === "crashes-backend-servers") {
        return "refused without having run: backend servers crashed while they ran requests with " +
            (line.fields["promptPart"] === undefined ?
                `its fingerprint ${show(line, "fingerprint")}` :
                `a part of its prompt, ${show(line, "promptPart")}`);
    }
    if (line.fields["reason"] === "may-crash-backend-servers") {
        return `refused: backend servers crashed while they ran requests with a part of its prompt, ` +
            `${show(line, "promptPart")}, and another such request had no answer yet; the caller was told to retry ` +
            `after ${show(line, "retryAfterSeconds")} s`;
    }
    return `refused without having run (${show(line, "reason")}): ${show(line, "queued")} requests waited and ` +
        `${show(line, "open")} were open at the gateway, which had ${show(line, "places")} places at the ` +
        `service${formatCapacity(line)}; the caller was told to retry after ${show(line, "retryAfterSeconds")} s`;
}

function formatRouting(line: LogLine): string | undefined {
    return line.fields["outcome"] === "chosen" ?
        undefined :
        `no backend server could be chosen (${show(line, "reason")}), of ${show(line, "candidates")} candidates`;
}

/** What ended a request while it was in progress. */
const endFormatters: Readonly<Record<string, string>> = {
    "caller-gone": "the caller disconnected",
    "caller-timeout": "the time that the caller had stated passed",
    "route-timeout": "the timeout of the route passed",
    shutdown: "the drain of the gateway ended",
};

function formatFailure(line: LogLine): string {
    const endedBy = show(line, "endedBy");
    if (Object.hasOwn(endFormatters, endedBy)) {
        return `${endFormatters[endedBy]} while backend server ${show(line, "peer")} had the request`;
    }
    return show(line, "detail").startsWith("canceled") ?
        `the caller disconnected or the time limit passed while backend server ${show(line, "peer")} had the request` :
        `backend server ${show(line, "peer")} failed (${show(line, "failure")}: ${show(line, "detail")})`;
}

function formatSilence(line: LogLine): string {
    return `backend server ${show(line, "peer")} was silent for ${show(line, "silence")} ms with ` +
        `${show(line, "remaining")} ms left`;
}

/** What happened to a request after an attempt had failed, or while it was silent. */
const retryFormatters: Readonly<Record<string, CauseFormatter>> = {
    retry: line => `${formatFailure(line)}; the request was retried`,
    hedge: line => `${formatSilence(line)}; the request was sent to another one beside it`,
    wait: line =>
        line.fields["silence"] === undefined ?
            `${formatFailure(line)}; ${show(line, "reason")}` :
            `${formatSilence(line)}; it was not sent to another one: ${show(line, "reason")}`,
};

function formatRetry(line: LogLine): string | undefined {
    const format = findFormatter(retryFormatters, show(line, "choice"));
    return format?.(line) ?? `${formatFailure(line)}; the request was not retried: ${show(line, "reason")}`;
}

const cutFormatters: Readonly<Record<string, CauseFormatter>> = {
    "broken-off": line =>
        line.fields["peer"] === undefined ?
            "no backend server could complete it" :
            `backend server ${show(line, "peer")} failed (${show(line, "failure")}: ${show(line, "detail")})`,
    "caller-gone": () => "the caller disconnected",
    "caller-timeout": formatTimeLimit,
    "drain-ended": () => "the drain of the gateway ended",
    exception: () => "its handling threw an exception",
    "route-timeout": formatTimeLimit,
};

function formatTimeLimit(line: LogLine): string {
    const limit = line.fields["limit"] === "caller-timeout" ? "that the caller had stated" : "of its route";
    return `the timeout of ${show(line, "limitMilliseconds")} ms ${limit} passed, under configuration ` +
        `${show(line, "limitRevision")}`;
}

function formatCut(line: LogLine): string {
    const cause = findFormatter(cutFormatters, show(line, "reason"))?.(line) ?? show(line, "reason");
    return `the answer was cut off after ${show(line, "durationMilliseconds")} ms: ${cause}`;
}

const causeFormatters: Readonly<Record<string, CauseFormatter>> = {
    "request rejected": formatRejection,
    "admission decision": formatAdmission,
    "routing decision": formatRouting,
    "retry decision": formatRetry,
    "answer cut off": formatCut,
};

/**
 * Describes why a request was refused, rejected or failed, from the lines about it.
 *
 * @param lines - lines about the request, in order
 * @returns a sentence for each line that refused, rejected or failed it; empty if none did
 */
export function findCauses(lines: readonly LogLine[]): string[] {
    return lines.flatMap(line => findFormatter(causeFormatters, line.message)?.(line) ?? []);
}
