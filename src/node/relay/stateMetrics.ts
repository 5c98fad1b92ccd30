import type { Clock } from "../../types/index.js";
import type { Metrics } from "../metrics/index.js";
import type { StateStore } from "./stateStore.js";

/**
 * Registers metrics for the applied offset and the time of the last change, which show the delay between an append to
 * the log and its effect in this process.
 *
 * @param metrics - metrics of the process
 * @param store - state of the process
 * @param clock - time source
 */
export function registerStateMetrics(metrics: Metrics, store: StateStore, clock: Clock): void {
    let changedAt = 0;
    store.onChange(() => {
        changedAt = clock.now().getTime();
    });
    metrics.registerGauge(
        { name: "goldcrestpoint_applied_offset", documentation: "Offset of the newest applied log record." },
        () => store.state.appliedOffset,
    );
    metrics.registerGauge(
        {
            name: "goldcrestpoint_state_changed_seconds",
            documentation: "Unix time of the newest change of the state that the log describes.",
        },
        () => changedAt / 1_000,
    );
}
