import { sleep } from "../../src/utils/index.js";
import type { CountingForwarder } from "./countingForwarder.js";
import { type MeasuredNode, readMemory, readMetric } from "./nodes.js";

/** What a daemon used during a window. */
export interface UsageSample {
    /** Share of one core. */
    readonly cores: number;
    readonly bytesPerSecond: number;
    readonly resident: number;
}

/**
 * Measures a daemon over a window.
 *
 * @param node - the daemon
 * @param forwarder - forwarder through which its control connections pass
 * @param milliseconds - length of the window
 * @returns use of processor, wire and memory
 */
export async function sampleUsage(
    node: MeasuredNode,
    forwarder: CountingForwarder,
    milliseconds: number,
): Promise<UsageSample> {
    const processorBefore = await readMetric(node, "process_cpu_seconds_total");
    const bytesBefore = forwarder.bytes;
    const startedAt = performance.now();
    await sleep(milliseconds);
    const seconds = (performance.now() - startedAt) / 1_000;
    const bytes = forwarder.bytes - bytesBefore;
    const processor = await readMetric(node, "process_cpu_seconds_total") - processorBefore;
    const { resident } = await readMemory(node.process.pid);
    return { cores: processor / seconds, bytesPerSecond: bytes / seconds, resident };
}
