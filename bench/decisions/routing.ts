import {
    beginWork,
    computeRequestCost,
    createServerSpeed,
    createServerWork,
    recordSlowdown,
} from "../../src/runtime/cost/index.js";
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

/** Candidates of a decision by cost, at the design size. */
const timedCandidates = 360;

/** Times decisions among backend servers with work in progress and stated slowdowns. */
function timeSelectionByCost(seed: number, costAware: boolean) {
    const random = createSeededRandom(seed);
    const timing = {
        stepTime: 8.87,
        stepTimePerRequest: 0.03,
        stepTimePerThousandTokens: 0.1,
        promptTokensPerSecond: 19_100,
        timePerMillionPairs: 2,
        passTokens: 512,
        stepsPerPass: 5,
        memoryTokens: 1_180_000,
    };
    const usual = { promptTokens: 900, outputTokens: 100 };
    const runners = createFleet(timedCandidates).map(createServingRow);
    for (const runner of runners) {
        const cost = computeRequestCost({ slots: 12, timing }, usual, usual)!;
        runner.work = createServerWork();
        beginWork(runner.work, cost);
        runner.speed = createServerSpeed();
        recordSlowdown(runner.speed, 0.5 + random.next(), 0);
    }
    const subset = { deployment: "goldcrest-llm", runners };
    return timeCalls(100_000, index =>
        selectRunner({
            subset,
            zone: zones[0]!,
            region: zones[0]!,
            manifestDigest: "digest",
            prefix: undefined,
            excluded: new Set(),
            now: 400,
            random,
            options: { ...options, comparedCandidates: 6, waitingWeight: 5, costAware },
            cost: computeRequestCost(
                { slots: 12, timing },
                { promptTokens: 100 + index % 3_000, outputTokens: 80 },
                usual,
            ),
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
    const byCost = `routing decision by cost, ${timedCandidates} candidates`;
    const byLoad = `routing decision by load, ${timedCandidates} candidates`;
    return [
        ...measurements,
        ...summarizeCalls(byCost, timeSelectionByCost(seed, true), selectionTargetMicroseconds),
        ...summarizeCalls(byLoad, timeSelectionByCost(seed, false)),
        { name: "growth of the routing decision, fleet of 10 to 3,200", value: growth(10, 3_200), unit: "ratio" },
        { name: "growth of the routing decision, fleet of 100 to 3,200", value: growth(100, 3_200), unit: "ratio" },
        { name: "runner row without cached prefixes", value: bytes, unit: "bytes" },
    ];
}
