import type { build, Histogram } from "hdr-histogram-js";
import { createRequire } from "node:module";
import type { Clock, Milliseconds } from "../../types/index.js";

/** Histogram whose quantiles cover recent values only, with totals of all values. */
export interface WindowedHistogram {
    /** Number of values since the start. */
    readonly count: number;
    /** Sum of the values since the start. */
    readonly sum: number;
    record(value: number): void;
    /**
     * Computes quantiles of the recent values.
     *
     * @param quantiles - shares from 0 to 1
     * @returns the values, `NaN` while there are none
     */
    readQuantiles(quantiles: readonly number[]): number[];
}

// Values are stored in thousandths, since the library counts integers. With two significant digits and 32-bit counts, a
// histogram takes 14 KB, and a record about 0.4 microseconds; packed counts take 8 KB, but four times as long.
const stepsPerUnit = 1_000;
const maximumRecordableValue = 3_600_000;

const require = createRequire(import.meta.url);

// The library takes about 16 MB of memory, so a process without histograms, such as an agent, does not load it.
function loadLibrary(): { readonly build: typeof build; } {
    return require("hdr-histogram-js") as { readonly build: typeof build; };
}

function createHistogram(): Histogram {
    return loadLibrary().build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: maximumRecordableValue * stepsPerUnit,
        numberOfSignificantValueDigits: 2,
        useWebAssembly: false,
    });
}

/**
 * Creates a histogram whose quantiles cover between one and two windows of time.
 *
 * @param clock - source of the monotonic time
 * @param window - length of a window
 * @returns the histogram
 */
export function createWindowedHistogram(clock: Clock, window: Milliseconds): WindowedHistogram {
    let previous = createHistogram();
    let current = createHistogram();
    let windowStart = clock.monotonic();
    let count = 0;
    let sum = 0;

    function advance(): void {
        const elapsed = clock.monotonic() - windowStart;
        if (elapsed < window) {
            return;
        }
        [previous, current] = [current, previous];
        current.reset();
        if (elapsed >= 2 * window) {
            previous.reset();
        }
        windowStart = clock.monotonic();
    }

    return {
        get count() {
            return count;
        },
        get sum() {
            return sum;
        },
        record: value => {
            advance();
            const bounded = Math.min(Math.max(value, 0), maximumRecordableValue);
            current.recordValue(Math.round(bounded * stepsPerUnit));
            count += 1;
            sum += bounded;
        },
        readQuantiles: quantiles => {
            advance();
            const merged = createHistogram();
            merged.add(previous);
            merged.add(current);
            return quantiles.map(quantile =>
                merged.totalCount === 0 ? NaN : merged.getValueAtPercentile(quantile * 100) / stepsPerUnit
            );
        },
    };
}
