import type { ConfigurationRow, CopyAssignment } from "../../types/index.js";
import { getWantedCopies, isSameWeights } from "./assess.js";
import type { AssessedCopy } from "./assess.js";
import { computeReplacementLimit } from "./copies.js";
import type { CopyPlan } from "./copies.js";
import type { Tick } from "./tick.js";

/**
 * Assigns the wanted weights to copies that have others; the copies stay on their instances. A rolling update keeps all
 * but the replacement share of the wanted copies of each availability zone serving.
 *
 * @param tick - the tick
 * @param configuration - the configuration in force
 * @param assessed - copies of the placement in force
 * @param plan - the plan so far
 * @returns the plan with the updates
 */
export function planUpdates(
    tick: Tick,
    configuration: ConfigurationRow,
    assessed: readonly AssessedCopy[],
    plan: CopyPlan,
): CopyPlan {
    const isOutdated = (copy: CopyAssignment) =>
        copy.state === "assigned" && !isSameWeights(copy.weights, configuration.weights);
    if (!plan.copies.some(isOutdated)) {
        return plan;
    }
    const serving = new Set(assessed.filter(({ isServing }) => isServing).map(({ copy }) => copy.instance));
    const updatableByZone = countUpdatable(tick, configuration, plan.copies, serving);
    const changes = [...plan.changes];
    const copies = plan.copies.map(copy => {
        if (!isOutdated(copy) || !reserveUpdate(configuration, copy, serving, updatableByZone)) {
            return copy;
        }
        changes.push({ kind: "update", instance: copy.instance, reason: "weights of the deployment have changed" });
        return { ...copy, weights: configuration.weights };
    });
    return { ...plan, copies, changes };
}

/** Computes for each availability zone how many serving copies may be updated now. */
function countUpdatable(
    tick: Tick,
    configuration: ConfigurationRow,
    copies: readonly CopyAssignment[],
    serving: ReadonlySet<string>,
): Map<string, number> {
    const updatableByZone = new Map<string, number>();
    for (const { instance, zone, state } of copies) {
        const wanted = getWantedCopies(configuration, zone);
        const initial = computeReplacementLimit(tick, wanted) - wanted;
        const isServing = state === "assigned" && serving.has(instance);
        updatableByZone.set(zone, (updatableByZone.get(zone) ?? initial) + (isServing ? 1 : 0));
    }
    return updatableByZone;
}

/** Tells whether a copy may be updated now; a serving copy then counts against its availability zone. */
function reserveUpdate(
    configuration: ConfigurationRow,
    copy: CopyAssignment,
    serving: ReadonlySet<string>,
    updatableByZone: Map<string, number>,
): boolean {
    // Updating a copy that is not serving interrupts nothing, and waiting for it could block the update forever.
    if (configuration.updateStrategy === "in-place" || !serving.has(copy.instance)) {
        return true;
    }
    const updatable = updatableByZone.get(copy.zone) ?? 0;
    updatableByZone.set(copy.zone, updatable - 1);
    return updatable > 0;
}
