import type { AvailabilityZone, Milliseconds } from "../../types/index.js";

/** Evacuated zone: nothing more is sent to its backend servers. */
export interface EvacuatedZone {
    readonly zone: AvailabilityZone;
    /** Monotonic time at which this process learned of it. */
    readonly since: Milliseconds;
}

/** Evacuations that a gateway knows. */
export interface EvacuationTable {
    readonly evacuated: Map<AvailabilityZone, EvacuatedZone>;
    /** Monotonic times at which this process learned that evacuations were lifted, the latest last. */
    readonly lifted: Map<AvailabilityZone, Milliseconds>;
}

/** What a record has changed; `none` if it repeats what is known. */
export type EvacuationChange = "begun" | "lifted" | "none";

/** Maximum number of zones whose evacuation was lifted that are kept; the records may name any number of zones. */
const maximumLifted = 100;

/**
 * Creates a table without evacuations.
 *
 * @returns the table
 */
export function createEvacuationTable(): EvacuationTable {
    return { evacuated: new Map(), lifted: new Map() };
}

/**
 * Records whether a zone is evacuated. Repeated records change nothing, so that an evacuation that is read twice, or
 * again after the log was restored, keeps its beginning and makes no zone cold.
 *
 * @param table - table to change
 * @param zone - the zone
 * @param isEvacuated - true while the operator's record exists
 * @param now - monotonic time
 * @returns what has changed
 */
export function recordEvacuation(
    table: EvacuationTable,
    zone: AvailabilityZone,
    isEvacuated: boolean,
    now: Milliseconds,
): EvacuationChange {
    const { evacuated, lifted } = table;
    if (isEvacuated === evacuated.has(zone)) {
        return "none";
    }
    lifted.delete(zone);
    if (isEvacuated) {
        evacuated.set(zone, { zone, since: now });
        return "begun";
    }
    evacuated.delete(zone);
    lifted.set(zone, now);
    if (lifted.size > maximumLifted) {
        lifted.delete(lifted.keys().next().value!);
    }
    return "lifted";
}
