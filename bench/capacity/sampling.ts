import { sleep } from "../../src/utils/index.js";
import type { CountingForwarder } from "./countingForwarder.js";
import { type MeasuredNode, readMemory, readMetric } from "./nodes.js";

/** Resources that a daemon used during a window of time. */
export interface UsageSample {
    /** Processor time as a share of one core. */
    readonly cores: number;
    readonly bytesPerSecond: number;
    /** Resident memory at the end of the window, in bytes. */
    readonly resident: number;
}

/**
 * Measures the resource usage of a daemon over a window of time.
 *
 * @param node - the daemon
 * @param forwarder - forwarder through which its control connections pass
 * @param milliseconds - length of the window
 * @returns usage of processor, network and memory
 */
export async function sampleUsage(
    node: MeasuredNode,
    forwarder: CountingForwarder,
    milliseconds: number,
): Promise<UsageSample> {
    const cpuSecondsBefore = await readMetric(node, "process_cpu_seconds_total");
    const bytesBefore = forwarder.bytes;
    const startedAt = performance.now();
    await sleep(milliseconds);
    const seconds = (performance.now() - startedAt) / 1_000;
    const bytes = forwarder.bytes - bytesBefore;
    const cpuSeconds = await readMetric(node, "process_cpu_seconds_total") - cpuSecondsBefore;
    const { resident } = await readMemory(node.process.pid);
    return { cores: cpuSeconds / seconds, bytesPerSecond: bytes / seconds, resident };
}
