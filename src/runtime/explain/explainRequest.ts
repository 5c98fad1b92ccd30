import type { Milliseconds, RequestId } from "../../types/index.js";
import { findCauses } from "./findCauses.js";
import type { Explanation, LogLine, Relation, TimelineEntry } from "./types.js";

/** Time before the first line about a request from which on lines about what was believed are shown. */
const contextBefore: Milliseconds = 3_000;
/** Time after the last line about a request until which they are shown. */
const contextAfter: Milliseconds = 1_000;

function readTime(line: LogLine): Milliseconds {
    return line.commonTime ?? line.writtenAt;
}

function readText(line: LogLine, field: string): string | undefined {
    const value = line.fields[field];
    return typeof value === "string" ? value : undefined;
}

/** Middle of how far the clocks are ahead of the common time; undefined if the lines share none. */
function findMiddleOffset(lines: readonly LogLine[]): Milliseconds | undefined {
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

/** Backend servers that the lines about a request name. */
function listBackendServers(own: readonly LogLine[]): ReadonlySet<string> {
    const servers = new Set<string>();
    for (const line of own) {
        const server = line.message === "routing decision" ? readText(line, "choice") : readText(line, "peer");
        if (server !== undefined && server !== "none") {
            servers.add(server);
        }
    }
    return servers;
}

/** Instances of the agents beside backend servers, found by the address that both name. */
function listAgents(lines: readonly LogLine[], servers: ReadonlySet<string>): ReadonlySet<string> {
    const addresses = new Set<string>();
    for (const line of lines) {
        const address = readText(line, "address");
        if (
            line.message === "backend server changed" && address !== undefined && servers.has(readText(line, "peer")!)
        ) {
            addresses.add(address);
        }
    }
    const agents = lines.filter(line => line.message === "agent started" && addresses.has(readText(line, "engine")!));
    return new Set(agents.map(({ instance }) => instance));
}

/** The last line of each gateway that tells which configuration is in force, before the request was decided. */
function listConfigurations(lines: readonly LogLine[], own: readonly LogLine[]): LogLine[] {
    const newest = new Map<string, LogLine>();
    const decidedAt = new Map(own.map(line => [line.instance, readTime(line)]));
    for (const line of lines) {
        if (
            line.message === "configuration in force" && readTime(line) <= (decidedAt.get(line.instance) ?? -Infinity)
        ) {
            newest.set(line.instance, line);
        }
    }
    return [...newest.values()];
}

/**
 * Joins what the processes have logged about one request with what they believed about its backend servers.
 *
 * @param lines - lines of all processes, in the order of their files
 * @param requestId - the request
 * @returns the timeline and the causes; undefined if no line is about the request
 */
export function explainRequest(lines: readonly LogLine[], requestId: RequestId): Explanation | undefined {
    const own = lines.filter(({ fields }) => fields["requestId"] === requestId);
    if (own.length === 0) {
        return undefined;
    }
    const times = own.map(readTime);
    const begin = Math.min(...times);
    const end = Math.max(...times);
    const gateways = new Set(own.map(({ instance }) => instance));
    const servers = listBackendServers(own);
    const agents = listAgents(lines, servers);
    const configurations = new Set(
        own.some(({ message }) => message === "request rejected") ? listConfigurations(lines, own) : [],
    );
    const middle = findMiddleOffset(lines);

    function relate(line: LogLine): Relation | undefined {
        if (line.fields["requestId"] === requestId) {
            return "request";
        }
        if (configurations.has(line)) {
            return "configuration";
        }
        const time = readTime(line);
        if (line.fields["requestId"] !== undefined || time < begin - contextBefore || time > end + contextAfter) {
            return undefined;
        }
        if (gateways.has(line.instance) && servers.has(readText(line, "peer") ?? "")) {
            return "backend-server";
        }
        return agents.has(line.instance) ? "agent" : undefined;
    }

    const timeline: TimelineEntry[] = lines.flatMap(line => {
        const relation = relate(line);
        return relation === undefined ? [] : [{
            line,
            relation,
            after: readTime(line) - begin,
            clockAhead: middle === undefined || line.commonTime === undefined ?
                undefined :
                line.writtenAt - line.commonTime - middle,
        }];
    });
    timeline.sort((left, right) => left.after - right.after || left.line.position - right.line.position);
    return {
        requestId,
        causes: findCauses(timeline.filter(({ relation }) => relation === "request").map(({ line }) => line)),
        timeline,
        instances: [...new Set(timeline.map(({ line }) => line.instance))],
        clocksCompared: middle !== undefined,
    };
}
