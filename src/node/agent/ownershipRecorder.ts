import { createOwnershipHistory, recordInterruption, recordOwners } from "../../runtime/idempotency/index.js";
import type { LogEntry, PlacementRow } from "../../types/index.js";
import type { AgentContext } from "./context.js";

/**
 * Records the owners of keys with each placement record, in the step in which the record is applied.
 *
 * @param context - the agent
 */
export function followOwnership(context: AgentContext): void {
    const { clock, ownership, self, startedAt, store } = context;

    function record(placement: PlacementRow | undefined): void {
        if (placement === undefined) {
            return;
        }
        const { copies, deployment } = placement;
        const now = clock.now().getTime();
        const known = ownership.get(deployment);
        if (known === undefined && !copies.some(({ instance }) => instance === self)) {
            return;
        }
        const history = known ?? createOwnershipHistory(self, now - (clock.monotonic() - startedAt));
        ownership.set(deployment, history);
        recordOwners(history, placement, now);
    }

    store.onEntry((entry: LogEntry) => record(store.state.placements.get(entry.record.deployment)));
    store.onChange(entries => {
        // A snapshot leaves out the records in between, in which other instances may have owned keys.
        if (entries.length === 0) {
            for (const history of ownership.values()) {
                recordInterruption(history, clock.now().getTime());
            }
            [...store.state.placements.rows()].forEach(record);
        }
    });
}
