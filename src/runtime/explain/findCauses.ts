import type { LogLine } from "./types.js";

/** Reads a field as text; a question mark if the line does not have it. */
function show(line: LogLine, field: string): string {
    const value = line.fields[field];
    return typeof value === "string" || typeof value === "number" || typeof value === "boolean" ? String(value) : "?";
}

/** Says what a line decided about its request; undefined if it let the request go on. */
type CauseReader = (line: LogLine) => string | undefined;

const rejections: Readonly<Record<string, CauseReader>> = {
    "no-route": line =>
        `answered ${show(line, "status")}: configuration ${show(line, "revision")} has no route for ` +
        `${show(line, "host")}${show(line, "path")}`,
    "no-configuration": line => `answered ${show(line, "status")}: the gateway knew no configuration yet`,
    "body-too-large": line => `answered ${show(line, "status")}: the body is larger than the configuration allows`,
    "transfer-coding": line => `answered ${show(line, "status")}: the body has a transfer coding besides chunks`,
};

function readRejection(line: LogLine): string {
    const reason = show(line, "reason");
    return rejections[reason]?.(line) ??
        `answered ${show(line, "status")}: ${reason} by configuration ${show(line, "revision")}`;
}

/** Says what the places of a gateway follow from; empty for lines of processes that do not say so. */
function readShare(line: LogLine): string {
    if (line.fields["usable"] === undefined) {
        return "";
    }
    const leftOut = `${show(line, "draining")} draining, ${show(line, "ejected")} ejected, ` +
        `${show(line, "notServing")} not serving, ${show(line, "paused")} paused`;
    return ` (${show(line, "usable")} usable backend servers with ${show(line, "free")} free places, wanted by ` +
        `${show(line, "contenders")} of ${show(line, "gateways")} gateways; left out: ${leftOut})`;
}

function readAdmission(line: LogLine): string | undefined {
    if (line.fields["outcome"] === "chosen") {
        return undefined;
    }
    if (line.fields["reason"] === "crashes-backend-servers") {
        return `refused without having run: backend servers ended under requests with its fingerprint ` +
            show(line, "fingerprint");
    }
    return `refused without having run (${show(line, "reason")}): ${show(line, "queued")} requests waited and ` +
        `${show(line, "open")} were open at the gateway, which had ${show(line, "places")} places at the ` +
        `service${readShare(line)}; it was told to come back after ${show(line, "retryAfterSeconds")} s`;
}

function readRouting(line: LogLine): string | undefined {
    return line.fields["outcome"] === "chosen" ?
        undefined :
        `no backend server could answer (${show(line, "reason")}), of ${show(line, "candidates")} candidates`;
}

function readRetry(line: LogLine): string {
    const canceled = show(line, "detail").startsWith("canceled");
    const failure = canceled ?
        `the caller left, or the time for the request was over, while backend server ${show(line, "peer")} had it` :
        `backend server ${show(line, "peer")} failed (${show(line, "failure")}: ${show(line, "detail")})`;
    return line.fields["choice"] === "retry" ?
        `${failure}; it was sent on` :
        `${failure}; it was not sent on: ${show(line, "reason")}`;
}

const readers: Readonly<Record<string, CauseReader>> = {
    "request rejected": readRejection,
    "admission decision": readAdmission,
    "routing decision": readRouting,
    "retry decision": readRetry,
};

/**
 * Says what the lines about a request decided.
 *
 * @param lines - lines about the request, in order
 * @returns a sentence for each line that refused, rejected or failed it; empty if none did
 */
export function findCauses(lines: readonly LogLine[]): string[] {
    return lines.flatMap(line => readers[line.message]?.(line) ?? []);
}
