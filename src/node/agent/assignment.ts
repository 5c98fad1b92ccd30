import type { FoldState } from "../../runtime/state/index.js";
import type { ConfigurationRow, CopyAssignment, DeploymentName, InstanceId, PlacementRow } from "../../types/index.js";

/** The copy that an instance has to hold or to give up. */
export interface AssignedCopy {
    readonly deployment: DeploymentName;
    readonly copy: CopyAssignment;
    readonly placement: PlacementRow;
    readonly configuration: ConfigurationRow | undefined;
}

/** What the placements in force say about one instance. */
export interface InstanceAssignment {
    /** The copy that counts: the one with the smallest epoch. */
    readonly current: AssignedCopy | undefined;
    /** Copies of other deployments that were assigned later and are not taken. */
    readonly conflicting: readonly AssignedCopy[];
}

/**
 * Finds the copy of one instance.
 *
 * @param state - state from the log
 * @param instance - the instance
 * @returns the copy that counts and those that are ignored
 */
export function findAssignment(state: FoldState, instance: InstanceId): InstanceAssignment {
    const found: AssignedCopy[] = [];
    for (const placement of state.placements.rows()) {
        const copy = placement.copies.find(candidate => candidate.instance === instance);
        if (copy !== undefined) {
            const { deployment } = placement;
            found.push({ deployment, copy, placement, configuration: state.configurations.get(deployment) });
        }
    }
    found.sort((left, right) => left.copy.epoch - right.copy.epoch);
    return { current: found[0], conflicting: found.slice(1) };
}
