import type { FoldState } from "../../runtime/state/index.js";
import type { ConfigurationRow, CopyAssignment, DeploymentName, InstanceId, PlacementRow } from "../../types/index.js";

/** Copy that is assigned to an instance or that the instance has to release. */
export interface AssignedCopy {
    readonly deployment: DeploymentName;
    readonly copy: CopyAssignment;
    readonly placement: PlacementRow;
    readonly configuration: ConfigurationRow | undefined;
}

/** Copies of one instance in the current placements. */
export interface InstanceAssignment {
    /** Copy that the instance has to follow: the one with the smallest epoch; undefined if there is none. */
    readonly current: AssignedCopy | undefined;
    /** Copies of other deployments that were assigned later; the instance ignores them. */
    readonly conflicting: readonly AssignedCopy[];
}

/**
 * Finds the copy that is assigned to an instance.
 *
 * @param state - state derived from the log
 * @param instance - the instance
 * @returns the copy to follow and those to ignore
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
