import type { Milliseconds, RequestId } from "../../types/index.js";
import { findCauses } from "./findCauses.js";
import type { Explanation, LogLine, Relation, TimelineEntry } from "./types.js";

/** Lines about backend servers and agents are shown from this time before the first line about the request. */
const contextBeforeRequest: Milliseconds = 3_000;
/** Lines about backend servers and agents are shown until this time after the last line about the request. */
const contextAfterRequest: Milliseconds = 1_000;

function getTime(line: LogLine): Milliseconds {
    return line.commonTime ?? line.writtenAt;
}

function getTextField(line: LogLine, field: string): string | undefined {
    const value = line.fields[field];
    return typeof value === "string" ? value : undefined;
}

/** Computes the median offset of the clocks from the common time; undefined if not all lines have a common time. */
function computeMedianOffset(lines: readonly LogLine[]): Milliseconds | undefined {
    const offsets: Milliseconds[] = [];
    for (const { commonTime, writtenAt } of lines) {
        if (commonTime === undefined) {
            return undefined;
        }
        offsets.push(writtenAt - commonTime);
    }
    offsets.sort((left, right) => left - right);
    return offsets[Math.floor(offsets.length / 2)];
}

/** Lists the backend servers that are named by the lines about a request. */
function listBackendServers(requestLines: readonly LogLine[]): ReadonlySet<string> {
    const servers = new Set<string>();
    for (const line of requestLines) {
        const server = line.message === "routing decision" ? getTextField(line, "choice") : getTextField(line, "peer");
        if (server !== undefined && server !== "none") {
            servers.add(server);
        }
    }
    return servers;
}

/** Lists the instances of the agents of backend servers, found by the engine address that both log. */
function listAgents(lines: readonly LogLine[], servers: ReadonlySet<string>): ReadonlySet<string> {
    const addresses = new Set<string>();
    for (const line of lines) {
        const address = getTextField(line, "address");
        if (
            line.message === "backend server changed" && address !== undefined &&
            servers.has(getTextField(line, "peer")!)
        ) {
            addresses.add(address);
        }
    }
    const agents = lines.filter(line =>
        line.message === "agent started" && addresses.has(getTextField(line, "engine")!)
    );
    return new Set(agents.map(({ instance }) => instance));
}

/** For each gateway, finds its last line about the configuration in force before its last line about the request. */
function listConfigurations(lines: readonly LogLine[], requestLines: readonly LogLine[]): LogLine[] {
    const newest = new Map<string, LogLine>();
    const decidedAt = new Map(requestLines.map(line => [line.instance, getTime(line)]));
    for (const line of lines) {
        if (
            line.message === "configuration in force" && getTime(line) <= (decidedAt.get(line.instance) ?? -Infinity)
        ) {
            newest.set(line.instance, line);
        }
    }
    return [...newest.values()];
}

/**
 * Combines what the processes logged about a request with what they logged about its backend servers at that time.
 *
 * @param lines - log lines of all processes, in the order in which they were read
 * @param requestId - identifier of the request
 * @returns the timeline and the causes; undefined if no line names the request
 */
export function explainRequest(lines: readonly LogLine[], requestId: RequestId): Explanation | undefined {
    const requestLines = lines.filter(({ fields }) => fields["requestId"] === requestId);
    if (requestLines.length === 0) {
        return undefined;
    }
    const times = requestLines.map(getTime);
    const begin = Math.min(...times);
    const end = Math.max(...times);
    const gateways = new Set(requestLines.map(({ instance }) => instance));
    const servers = listBackendServers(requestLines);
    const agents = listAgents(lines, servers);
    const configurations = new Set(
        requestLines.some(({ message }) => message === "request rejected") ?
            listConfigurations(lines, requestLines) :
            [],
    );
    const medianOffset = computeMedianOffset(lines);

    function determineRelation(line: LogLine): Relation | undefined {
        if (line.fields["requestId"] === requestId) {
            return "request";
        }
        if (configurations.has(line)) {
            return "configuration";
        }
        const time = getTime(line);
        if (
            line.fields["requestId"] !== undefined || time < begin - contextBeforeRequest ||
            time > end + contextAfterRequest
        ) {
            return undefined;
        }
        if (gateways.has(line.instance) && servers.has(getTextField(line, "peer") ?? "")) {
            return "backend-server";
        }
        return agents.has(line.instance) ? "agent" : undefined;
    }

    const timeline: TimelineEntry[] = lines.flatMap(line => {
        const relation = determineRelation(line);
        return relation === undefined ? [] : [{
            line,
            relation,
            after: getTime(line) - begin,
            clockAhead: medianOffset === undefined || line.commonTime === undefined ?
                undefined :
                line.writtenAt - line.commonTime - medianOffset,
        }];
    });
    timeline.sort((left, right) => left.after - right.after || left.line.position - right.line.position);
    return {
        requestId,
        causes: findCauses(timeline.filter(({ relation }) => relation === "request").map(({ line }) => line)),
        timeline,
        instances: [...new Set(timeline.map(({ line }) => line.instance))],
        clocksCompared: medianOffset !== undefined,
    };
}
