import type { ConfigurationRow, CopyAssignment } from "../../types/index.js";
import { isSameWeights, readWanted } from "./assess.js";
import type { AssessedCopy } from "./assess.js";
import { readReplacementCap } from "./copies.js";
import type { CopyPlan } from "./copies.js";
import type { Tick } from "./tick.js";

/**
 * Moves copies to the wanted weights, on the instances that they are on. A rolling update keeps all but the replacement
 * share of the wanted copies of each availability zone serving.
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
    const budgets = createBudgets(tick, configuration, plan.copies, serving);
    const moves = [...plan.moves];
    const copies = plan.copies.map(copy => {
        if (!isOutdated(copy) || !mayUpdate(configuration, copy, serving, budgets)) {
            return copy;
        }
        moves.push({ kind: "update", instance: copy.instance, reason: "weights of the deployment have changed" });
        return { ...copy, weights: configuration.weights };
    });
    return { ...plan, copies, moves };
}

/** For each availability zone, how many serving copies may be updated now. */
function createBudgets(
    tick: Tick,
    configuration: ConfigurationRow,
    copies: readonly CopyAssignment[],
    serving: ReadonlySet<string>,
): Map<string, number> {
    const budgets = new Map<string, number>();
    for (const { instance, zone, state } of copies) {
        const wanted = readWanted(configuration, zone);
        const initial = readReplacementCap(tick, wanted) - wanted;
        const isServing = state === "assigned" && serving.has(instance);
        budgets.set(zone, (budgets.get(zone) ?? initial) + (isServing ? 1 : 0));
    }
    return budgets;
}

function mayUpdate(
    configuration: ConfigurationRow,
    copy: CopyAssignment,
    serving: ReadonlySet<string>,
    budgets: Map<string, number>,
): boolean {
    // A copy that is not serving loses nothing by the update, and waiting for it could stop the update for good.
    if (configuration.updateStrategy === "in-place" || !serving.has(copy.instance)) {
        return true;
    }
    const budget = budgets.get(copy.zone) ?? 0;
    budgets.set(copy.zone, budget - 1);
    return budget > 0;
}
