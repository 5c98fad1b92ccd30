import { createOwnershipHistory, recordInterruption, recordOwners } from "../../runtime/idempotency/index.js";
import type { LogEntry, PlacementRow } from "../../types/index.js";
import type { AgentContext } from "./context.js";

/**
 * Records the owners of idempotency keys from each placement record, before the next record is applied.
 *
 * @param context - state of the agent; its `ownership` is updated
 */
export function recordOwnershipChanges(context: AgentContext): void {
    const { clock, ownership, self, startedAt, store } = context;
    let { appliedOffset } = store.state;

    /** Records a gap: other instances may have owned keys under records that this process has not seen. */
    function recordInterruptions(): void {
        for (const history of ownership.values()) {
            recordInterruption(history, clock.now().getTime());
        }
    }

    function recordPlacement(placement: PlacementRow | undefined): void {
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

    store.onEntry((entry: LogEntry) => {
        if (entry.previousOffset !== appliedOffset) {
            recordInterruptions();
        }
        appliedOffset = entry.offset;
        recordPlacement(store.state.placements.get(entry.record.deployment));
    });
    store.onChange(entries => {
        const isSnapshot = entries.length === 0;
        if (isSnapshot) {
            recordInterruptions();
            ({ appliedOffset } = store.state);
            [...store.state.placements.rows()].forEach(recordPlacement);
        }
    });
}
