import type { Metrics } from "./metrics.js";

const microsecondsPerSecond = 1_000_000;

/**
 * Registers metrics of the processor time and the resident memory of this process.
 *
 * @param metrics - metrics of the process
 */
export function registerProcessMetrics(metrics: Metrics): void {
    metrics.registerGauge(
        {
            name: "goldcrestpoint_process_cpu_seconds_total",
            documentation: "Processor time of the process, user and system.",
        },
        () => {
            const { system, user } = process.cpuUsage();
            return (user + system) / microsecondsPerSecond;
        },
    );
    metrics.registerGauge(
        { name: "goldcrestpoint_process_resident_bytes", documentation: "Resident memory of the process." },
        () => process.memoryUsage.rss(),
    );
}
