import type { BackendServerRow, EvacuatedZone } from "../../../runtime/gateway/index.js";
import type { AvailabilityZone, Clock } from "../../../types/index.js";

/** Evacuated zone, as operators see it. */
export interface EvacuationStatus {
    readonly zone: AvailabilityZone;
    /** Time at which this gateway learned of the evacuation, in ISO 8601. */
    readonly since: string;
    /** Backend servers of the zone that are listed. */
    readonly servers: number;
    /** Requests that this gateway still has in progress at them. */
    readonly running: number;
}

/**
 * Describes the evacuated zones.
 *
 * @param zones - the zones
 * @param servers - backend servers of all zones
 * @param clock - time source
 * @returns one entry for each zone
 */
export function describeEvacuations(
    zones: readonly EvacuatedZone[],
    servers: Iterable<BackendServerRow>,
    clock: Clock,
): readonly EvacuationStatus[] {
    const rows = [...servers];
    return zones.map(({ since, zone }) => {
        const inZone = rows.filter(({ listed }) => listed.zone === zone);
        return {
            zone,
            since: new Date(clock.now().getTime() - (clock.monotonic() - since)).toISOString(),
            servers: inZone.length,
            running: inZone.reduce((sum, { runner }) => sum + runner.outstanding, 0),
        };
    });
}
