import { rankProposer } from "../../runtime/placement/index.js";
import type { InstanceId } from "../../types/index.js";
import type { EntryContext } from "./context.js";

/**
 * Lists the witnesses that this entry instance has to follow as a proposer: those of the copies of each deployment for
 * whose pool it ranks among the first `relay.parents` entry instances, which agents follow.
 *
 * @param context - the entry instance
 * @returns the witnesses; they may include this entry instance
 */
export function listRequiredWitnesses(context: EntryContext): ReadonlySet<InstanceId> {
    const { instances, self, settings, store } = context;
    const entries = [...instances.lookup("role", "entry")].filter(entry => instances.get(entry)?.state === "live");
    const witnesses = new Set<InstanceId>();
    for (const { deployment, copies } of store.state.placements.rows()) {
        const pool = store.state.configurations.get(deployment)?.pool ?? deployment;
        if (rankProposer(pool, self, entries) >= settings.relay.parents) {
            continue;
        }
        for (const copy of copies) {
            copy.witnesses.forEach(witness => witnesses.add(witness));
            copy.previousWitnesses?.forEach(witness => witnesses.add(witness));
        }
    }
    return witnesses;
}
