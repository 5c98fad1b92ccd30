import {
    createRunnerRow,
    resolveRoutingOptions,
    type RunnerRow,
    selectRunner,
    selectSubset,
    type SubsetCandidate,
} from "../../src/runtime/routing/index.js";
import { computeDigest, createSeededRandom } from "../../src/utils/index.js";
import { measureBytesPerRow, type Measurement, summarizeCalls, timeCalls } from "./measurement.js";

const options = resolveRoutingOptions();
const zones = ["dfw-hall-a", "hou-hall-b", "sat-hall-c"];
const prefixes = [...Array(500).keys()].map(index => computeDigest(String(index)));
const cachedPrefixes = 50;
const fleetSizes = [10, 100, 1_000, 3_200];
const selectionTargetMicroseconds = 20;

function createFleet(size: number): SubsetCandidate[] {
    return [...Array(size).keys()].map(index => ({
        instance: `runner-${index}`,
        zone: zones[index % zones.length]!,
        region: zones[index % zones.length]!,
    }));
}

function selectFrom(candidates: readonly SubsetCandidate[], index: number): readonly SubsetCandidate[] {
    const entry = `entry-${index % 8}`;
    return selectSubset({
        entry,
        deployment: "goldcrest-llm",
        zone: zones[0]!,
        region: zones[0]!,
        candidates,
        size: 32,
    });
}

function createServingRow(candidate: SubsetCandidate, index: number): RunnerRow {
    const row = createRunnerRow("goldcrest-llm", candidate);
    row.manifestDigest = "digest";
    row.phase = "serving";
    row.reportedAt = index;
    row.reportedLoad = index % 8;
    row.capacity = 8;
    row.cachedPrefixes = new Set(prefixes.slice(index * 10, index * 10 + cachedPrefixes));
    return row;
}

function timeSelection(runners: RunnerRow[], seed: number) {
    const random = createSeededRandom(seed);
    const subset = { deployment: "goldcrest-llm", runners };
    return timeCalls(100_000, index =>
        selectRunner({
            subset,
            zone: zones[0]!,
            region: zones[0]!,
            manifestDigest: "digest",
            prefix: prefixes[index % prefixes.length],
            excluded: new Set(),
            now: 100,
            random,
            options,
        }));
}

/**
 * Measures the routing decision and the selection of the subset at several fleet sizes.
 *
 * @param seed - seed of the random choices
 * @returns times of both, growth of the decision with the fleet and bytes for each runner's row; the target of a
 *     decision is 20 microseconds at p99
 */
export function measureRouting(seed: number): readonly Measurement[] {
    const measurements: Measurement[] = [];
    const medians: number[] = [];
    for (const size of fleetSizes) {
        const fleet = createFleet(size);
        const subsetSelection = timeCalls(50, index => selectFrom(fleet, index));
        const runners = selectFrom(fleet, 0).map(createServingRow);
        const selection = timeSelection(runners, seed);
        medians.push(selection.getValueAtPercentile(50));
        const name = `routing decision, fleet of ${size}, ${runners.length} candidates`;
        measurements.push(...summarizeCalls(name, selection, selectionTargetMicroseconds));
        measurements.push(...summarizeCalls(`choice of the subset, fleet of ${size}`, subsetSelection));
    }
    const growth = (from: number, to: number) => medians[fleetSizes.indexOf(to)]! / medians[fleetSizes.indexOf(from)]!;
    const rows = 3_200;
    const bytes = measureBytesPerRow(rows, () => createFleet(rows).map(row => createRunnerRow("goldcrest-llm", row)));
    return [
        ...measurements,
        { name: "growth of the routing decision, fleet of 10 to 3,200", value: growth(10, 3_200), unit: "ratio" },
        { name: "growth of the routing decision, fleet of 100 to 3,200", value: growth(100, 3_200), unit: "ratio" },
        { name: "runner row without cached prefixes", value: bytes, unit: "bytes" },
    ];
}
