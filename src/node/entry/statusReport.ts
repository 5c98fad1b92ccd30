import type {
    AvailabilityZone,
    ConfigurationRow,
    CopyAssignment,
    CopyReport,
    DeploymentName,
    Offset,
    PlacementRow,
} from "../../types/index.js";
import type { EntryContext } from "./context.js";

/** State of one deployment in one availability zone, as numbers of copies and of their chunks. */
export interface ZoneStatus {
    readonly zone: AvailabilityZone;
    readonly wanted: number;
    readonly assigned: number;
    readonly complete: number;
    readonly serving: number;
    readonly chunksComplete: number;
    readonly chunksTotal: number;
}

/** State of one deployment. */
export interface DeploymentStatus {
    readonly deployment: DeploymentName;
    readonly revision: number;
    /** Undefined for plain services. */
    readonly version: string | undefined;
    readonly zones: readonly ZoneStatus[];
}

/** Answer of `GET /operations/status`. */
export interface StatusReport {
    readonly appliedOffset: Offset;
    readonly deployments: readonly DeploymentStatus[];
}

/**
 * Reports the state of all deployments.
 *
 * @param context - the entry instance
 * @returns the report, with deployments and availability zones ordered by name
 */
export function createStatusReport(context: EntryContext): StatusReport {
    const { configurations, placements, appliedOffset } = context.store.state;
    const deployments = [...configurations.rows()]
        .sort((left, right) => left.deployment < right.deployment ? -1 : 1)
        .map(row => reportDeployment(context, row, placements.get(row.deployment)));
    return { appliedOffset, deployments };
}

function reportDeployment(
    context: EntryContext,
    configuration: ConfigurationRow,
    placement: PlacementRow | undefined,
): DeploymentStatus {
    const copies = placement?.copies ?? [];
    const zones = new Set([...Object.keys(configuration.replicas), ...copies.map(({ zone }) => zone)]);
    return {
        deployment: configuration.deployment,
        revision: configuration.revision,
        version: configuration.weights?.version,
        zones: [...zones].sort().map(zone => reportZone(context, configuration, zone, copies)),
    };
}

function reportZone(
    context: EntryContext,
    configuration: ConfigurationRow,
    zone: AvailabilityZone,
    copies: readonly CopyAssignment[],
): ZoneStatus {
    const assigned = copies.filter(copy => copy.zone === zone && copy.state === "assigned");
    const reports = assigned
        .map(copy => findReport(context, configuration, copy))
        .filter(report => report !== undefined);
    const count = (phases: readonly string[]): number => reports.filter(({ phase }) => phases.includes(phase)).length;
    return {
        zone,
        wanted: configuration.replicas[zone] ?? 0,
        assigned: assigned.length,
        complete: count(["complete", "activating", "serving"]),
        serving: count(["serving"]),
        chunksComplete: reports.reduce((sum, report) => sum + report.chunksComplete, 0),
        chunksTotal: reports.reduce((sum, report) => sum + report.chunksTotal, 0),
    };
}

/** Finds the report of a copy. A report with another manifest digest is ignored: those weights are being replaced. */
function findReport(
    context: EntryContext,
    configuration: ConfigurationRow,
    copy: CopyAssignment,
): CopyReport | undefined {
    const wanted = configuration.weights?.manifestDigest ?? "";
    return context.observations.get(copy.instance)?.copies.find(report =>
        report.deployment === configuration.deployment && report.manifestDigest === wanted
    );
}
