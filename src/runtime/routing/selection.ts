import type { AvailabilityZone, Region } from "../../types/index.js";
import { estimateLoad } from "./load.js";
import type { RoutingDecision, RoutingInput, RoutingReason, RunnerRow } from "./types.js";

/** Seconds after which a caller may try again when no runner can answer, by reason. */
const retryAfterSeconds = { "no-runner": 5, "not-serving": 3, draining: 2 } as const;

type Unavailable = keyof typeof retryAfterSeconds;

function isServing(runner: RunnerRow, input: RoutingInput): boolean {
    return runner.phase === "serving" && runner.manifestDigest === input.manifestDigest &&
        input.now - runner.reportedAt <= input.options.reportExpiry;
}

function explainNone(input: RoutingInput): RoutingDecision {
    let reason: Unavailable = input.subset.runners.length === 0 ? "no-runner" : "not-serving";
    if (input.subset.runners.some(runner => runner.draining && isServing(runner, input))) {
        reason = "draining";
    }
    return { kind: "none", reason, candidates: 0, retryAfterSeconds: retryAfterSeconds[reason] };
}

/** Runners that may be chosen, after ejection and the panic threshold. */
function findCandidates(input: RoutingInput): { readonly candidates: RunnerRow[]; readonly panic: boolean; } {
    const serving: RunnerRow[] = [];
    const healthy: RunnerRow[] = [];
    for (const runner of input.subset.runners) {
        if (runner.draining || !isServing(runner, input) || input.excluded.has(runner.instance)) {
            continue;
        }
        serving.push(runner);
        if (runner.ejectedUntil <= input.now) {
            healthy.push(runner);
        }
    }
    const ejectedShare = (serving.length - healthy.length) / Math.max(1, serving.length);
    const panic = ejectedShare > input.options.panicShare;
    return { candidates: panic || healthy.length === 0 ? serving : healthy, panic };
}

function measurePenalty(runner: RunnerRow, zone: AvailabilityZone, region: Region, input: RoutingInput): number {
    if (runner.zone === zone) {
        return 0;
    }
    return runner.region === region ? input.options.zonePenalty : input.options.regionPenalty;
}

function computeMean(candidates: readonly RunnerRow[], read: (runner: RunnerRow) => number): number {
    let sum = 0;
    for (const runner of candidates) {
        sum += read(runner);
    }
    return sum / candidates.length;
}

function pickIndex(input: RoutingInput, size: number): number {
    return Math.min(size - 1, Math.floor(input.random.next() * size));
}

/** Draws two different candidates and returns the one with the lower score. */
function chooseOfTwo(
    input: RoutingInput,
    candidates: readonly RunnerRow[],
    score: (runner: RunnerRow) => number,
): RunnerRow {
    const firstIndex = pickIndex(input, candidates.length);
    const secondIndex = (firstIndex + 1 + pickIndex(input, candidates.length - 1)) % candidates.length;
    const first = candidates[firstIndex]!;
    const second = candidates[secondIndex]!;
    return score(second) < score(first) ? second : first;
}

/** Finds the least loaded runner that has the prefix cached and stays within the load bound. */
function findAffinity(
    input: RoutingInput,
    candidates: readonly RunnerRow[],
    score: (runner: RunnerRow) => number,
    bound: number,
): RunnerRow | undefined {
    let best: RunnerRow | undefined;
    let bestScore = bound;
    for (const runner of candidates) {
        if (runner.cachedPrefixes.has(input.prefix!)) {
            const value = score(runner);
            if (value < bestScore) {
                best = runner;
                bestScore = value;
            }
        }
    }
    return best;
}

function selectReason(panic: boolean, count: number, affinity: boolean): RoutingReason {
    if (panic) {
        return "panic";
    }
    if (count === 1) {
        return "only-candidate";
    }
    return affinity ? "prefix-affinity" : "least-loaded-of-two";
}

/**
 * Selects the runner of a request. The cost depends on the size of the subset, not on that of the fleet.
 *
 * @param input - subset, wanted weights, prefix and runners to leave out; nothing is changed
 * @returns the runner with the reason, or why there is none
 */
export function selectRunner(input: RoutingInput): RoutingDecision {
    const { candidates, panic } = findCandidates(input);
    if (candidates.length === 0) {
        return explainNone(input);
    }
    const meanReported = computeMean(candidates, runner => runner.reportedLoad);
    const load = (runner: RunnerRow) => estimateLoad(runner, meanReported, input.now, input.options);
    const score = (runner: RunnerRow) => load(runner) + measurePenalty(runner, input.zone, input.region, input);
    let affinity: RunnerRow | undefined;
    if (input.prefix !== undefined && candidates.length > 1) {
        const bound = input.options.affinityLoadFactor * computeMean(candidates, load) +
            input.options.affinityLoadSlack;
        affinity = findAffinity(input, candidates, score, bound);
    }
    const runner = affinity ?? (candidates.length === 1 ? candidates[0]! : chooseOfTwo(input, candidates, score));
    const reason = selectReason(panic, candidates.length, affinity !== undefined);
    return { kind: "selected", runner, reason, candidates: candidates.length };
}
