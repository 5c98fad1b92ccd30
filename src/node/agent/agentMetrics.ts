import type { Metrics } from "../metrics/index.js";
import type { Executor } from "./executor.js";
import type { LoadReports } from "./loadReports.js";
import type { TransferService } from "./transfer/index.js";

/** Parts of an agent that its metrics are read from. */
export interface AgentMetricsSources {
    readonly executor: Executor;
    readonly transfer: TransferService;
    readonly reports: LoadReports;
}

/**
 * Registers the metrics of an agent.
 *
 * @param metrics - metrics of the process
 * @param parts - parts that the values are read from
 */
export function registerAgentMetrics(metrics: Metrics, parts: AgentMetricsSources): void {
    const { executor, reports, transfer } = parts;
    const gauges: readonly (readonly [name: string, documentation: string, read: () => number])[] = [
        ["requests_in_progress", "Requests in progress on the backend server.", () => executor.running],
        ["requests_queued", "Requests that wait for a place.", () => executor.queued],
        ["load_watchers", "Entry instances that follow the load reports.", () => reports.watchers],
        ["origin_received_bytes", "Bytes of weights read from the origin.", () => transfer.totals().originBytes],
        ["peer_received_bytes", "Bytes of weights received from agents.", () => transfer.totals().peerReceivedBytes],
        ["peer_sent_bytes", "Bytes of weights sent to agents.", () => transfer.totals().peerSentBytes],
        ["chunks_complete", "Verified chunks of the assigned set.", () => transfer.progress()?.chunksComplete ?? 0],
        ["chunks_total", "Chunks of the assigned set.", () => transfer.progress()?.chunksTotal ?? 0],
    ];
    for (const [name, documentation, read] of gauges) {
        metrics.registerGauge({ name: `goldcrestpoint_${name}`, documentation }, read);
    }
}
