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
    let { appliedOffset } = store.state;

    /** Other instances may have owned keys under records that this process has not seen. */
    function interrupt(): void {
        for (const history of ownership.values()) {
            recordInterruption(history, clock.now().getTime());
        }
    }

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

    store.onEntry((entry: LogEntry) => {
        if (entry.previousOffset !== appliedOffset) {
            interrupt();
        }
        appliedOffset = entry.offset;
        record(store.state.placements.get(entry.record.deployment));
    });
    store.onChange(entries => {
        const isSnapshot = entries.length === 0;
        if (isSnapshot) {
            interrupt();
            ({ appliedOffset } = store.state);
            [...store.state.placements.rows()].forEach(record);
        }
    });
}
