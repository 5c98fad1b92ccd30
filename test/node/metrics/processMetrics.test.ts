import { expect } from "earl";
import { describe, it } from "node:test";
import { createMetrics, registerProcessMetrics } from "../../../src/node/metrics/index.js";
import { createManualClock } from "../../../src/utils/index.js";

describe("process metrics", () => {
    // Guards against a wrong unit: capacity planning computes with seconds and bytes.
    it("state processor time in seconds and memory in bytes", () => {
        const metrics = createMetrics({ clock: createManualClock() });
        registerProcessMetrics(metrics);
        const read = (name: string): number => Number(new RegExp(`^${name} (.+)$`, "m").exec(metrics.render())?.[1]);
        const { system, user } = process.cpuUsage();
        const processor = read("goldcrestpoint_process_cpu_seconds_total");
        const resident = read("goldcrestpoint_process_resident_bytes");
        expect(processor).toBeGreaterThanOrEqual((user + system) / 1_000_000);
        expect(processor).toBeLessThan((user + system) / 1_000_000 + 60);
        expect(resident).toBeGreaterThan(10_000_000);
    });
});
