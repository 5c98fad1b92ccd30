import { build, type Histogram } from "hdr-histogram-js";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** One measured value; with `--check`, a value above its target makes the benchmark fail. */
export interface Measurement {
    readonly name: string;
    readonly value: number;
    readonly unit: "microseconds" | "milliseconds" | "bytes" | "ratio";
    /** Largest value that is allowed; undefined for figures without a target. */
    readonly target?: number | undefined;
}

/** Measures one module of the decisions; `modules.ts` lists all of them. */
export type MeasurementModule = (seed: number) => readonly Measurement[];

const warmUpCalls = 5_000;

/**
 * Times single calls after a warm-up.
 *
 * @param calls - number of timed calls
 * @param call - called with the number of the call
 * @returns times in nanoseconds
 */
export function timeCalls(calls: number, call: (index: number) => unknown): Histogram {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000_000 });
    for (let index = 0; index < Math.min(calls, warmUpCalls); index++) {
        call(index);
    }
    for (let index = 0; index < calls; index++) {
        const startedAt = process.hrtime.bigint();
        call(index);
        histogram.recordValue(Math.max(1, Number(process.hrtime.bigint() - startedAt)));
    }
    return histogram;
}

/**
 * Summarizes times of single calls.
 *
 * @param name - name of the measured call
 * @param histogram - times in nanoseconds
 * @param target - largest p99 in microseconds; undefined for none
 * @returns median and p99 in microseconds
 */
export function summarizeCalls(name: string, histogram: Histogram, target?: number): readonly Measurement[] {
    return [
        { name: `${name}, p50`, value: histogram.getValueAtPercentile(50) / 1_000, unit: "microseconds" },
        { name: `${name}, p99`, value: histogram.getValueAtPercentile(99) / 1_000, unit: "microseconds", target },
    ];
}

function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}

/**
 * Measures the heap that a row of a table takes on average.
 *
 * @param rows - number of rows that `fill` creates
 * @param fill - creates and returns the table
 * @returns bytes for each row
 */
export function measureBytesPerRow(rows: number, fill: () => unknown): number {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const table = fill();
    collectGarbage();
    const after = process.memoryUsage().heapUsed;
    // The table is used after the second reading, so that it is not garbage-collected before.
    return table === undefined ? 0 : (after - before) / rows;
}
