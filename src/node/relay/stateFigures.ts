import type { Clock } from "../../types/index.js";
import type { Metrics } from "../metrics/index.js";
import type { StateStore } from "./stateStore.js";

/**
 * Adds what a process knows of the log and since when, so that the time from an append to its effect can be read.
 *
 * @param metrics - metrics of the process
 * @param store - state of the process
 * @param clock - time
 */
export function observeState(metrics: Metrics, store: StateStore, clock: Clock): void {
    let changedAt = 0;
    store.onChange(() => {
        changedAt = clock.now().getTime();
    });
    metrics.observe(
        { name: "goldcrestpoint_applied_offset", documentation: "Offset of the newest applied log record." },
        () => store.state.appliedOffset,
    );
    metrics.observe(
        {
            name: "goldcrestpoint_state_changed_seconds",
            documentation: "Unix time of the newest change of the state that the log describes.",
        },
        () => changedAt / 1_000,
    );
}
