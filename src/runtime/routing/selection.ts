import type { AvailabilityZone, Milliseconds, Region } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { estimateLoad } from "./load.js";
import type { CandidateInput, Candidates, RoutingDecision, RoutingInput, RoutingReason, RunnerRow } from "./types.js";

/** Seconds after which a caller may try again when no runner can answer, by reason. */
const retryAfterSeconds = { "no-runner": 5, "not-serving": 3, draining: 2 } as const;

type Unavailable = keyof typeof retryAfterSeconds;

/** Seconds until it shows whether a runner that is tried again takes requests. */
const trialSeconds = 0.2;

function isServing(runner: RunnerRow, input: CandidateInput): boolean {
    const { manifestDigest, phase } = runner;
    const accepted = manifestDigest === input.manifestDigest ||
        (manifestDigest !== undefined && input.acceptedDigests?.has(manifestDigest) === true);
    return phase === "serving" && accepted && input.now - runner.reportedAt <= input.options.reportExpiry;
}

function isPaused({ pausedUntil, trial }: RunnerRow, now: Milliseconds): boolean {
    return pausedUntil > now || trial === "running";
}

function explainNone(input: RoutingInput, { leftOut, resumesAt }: Candidates): RoutingDecision {
    if (leftOut.paused > 0 && resumesAt !== undefined) {
        const seconds = Math.max(trialSeconds, (resumesAt - input.now) / 1_000);
        return { kind: "none", reason: "turned-away", candidates: 0, retryAfterSeconds: seconds };
    }
    let reason: Unavailable = input.subset.runners.length === 0 ? "no-runner" : "not-serving";
    if (input.subset.runners.some(runner => runner.draining && isServing(runner, input))) {
        reason = "draining";
    }
    return { kind: "none", reason, candidates: 0, retryAfterSeconds: retryAfterSeconds[reason] };
}

/**
 * Lists the runners that may be chosen. Ejected ones are left out, unless more than the panic share is ejected.
 *
 * @param input - subset, wanted weights and runners to leave out; nothing is changed
 * @returns the candidates, and how many runners are left out for which reason
 */
export function findCandidates(input: CandidateInput): Candidates {
    const serving: RunnerRow[] = [];
    const healthy: RunnerRow[] = [];
    const leftOut = { draining: 0, "not-serving": 0, paused: 0, ejected: 0 };
    let resumesAt: Milliseconds | undefined;
    for (const runner of input.subset.runners) {
        if (runner.draining) {
            leftOut.draining++;
        }
        else if (!isServing(runner, input)) {
            leftOut["not-serving"]++;
        }
        else if (isPaused(runner, input.now)) {
            leftOut.paused++;
            resumesAt = Math.min(resumesAt ?? Infinity, Math.max(input.now, runner.pausedUntil));
        }
        else if (!input.excluded.has(runner.instance)) {
            serving.push(runner);
            if (runner.ejectedUntil <= input.now) {
                healthy.push(runner);
            }
        }
    }
    const ejected = serving.length - healthy.length;
    const panic = ejected / Math.max(1, serving.length) > input.options.panicShare;
    if (panic || healthy.length === 0) {
        return { candidates: serving, panic, leftOut, resumesAt };
    }
    return { candidates: healthy, panic, leftOut: { ...leftOut, ejected }, resumesAt };
}

function measurePenalty(runner: RunnerRow, zone: AvailabilityZone, region: Region, input: RoutingInput): number {
    if (runner.zone === zone) {
        return 0;
    }
    return runner.region === region ? input.options.zonePenalty : input.options.regionPenalty;
}

/** Expected loads of the candidates, in their order. */
interface CandidateLoads {
    readonly loads: readonly number[];
    readonly mean: number;
}

function estimateLoads(input: RoutingInput, candidates: readonly RunnerRow[]): CandidateLoads {
    let reported = 0;
    for (const runner of candidates) {
        reported += runner.reportedLoad;
    }
    const meanReported = reported / candidates.length;
    const loads: number[] = [];
    let sum = 0;
    for (const runner of candidates) {
        const load = estimateLoad(runner, meanReported, input.now, input.options);
        loads.push(load);
        sum += load;
    }
    return { loads, mean: sum / candidates.length };
}

function computeScore(input: RoutingInput, runner: RunnerRow, load: number): number {
    return load + measurePenalty(runner, input.zone, input.region, input);
}

function pickIndex(input: RoutingInput, size: number): number {
    return Math.min(size - 1, Math.floor(input.random.next() * size));
}

/** Draws different candidates and returns the one with the lowest score. */
function chooseOfDrawn(input: RoutingInput, candidates: readonly RunnerRow[], loads: readonly number[]): RunnerRow {
    const indexes = Array.from(candidates.keys());
    const draws = Math.min(candidates.length, Math.max(2, input.options.comparedCandidates));
    let best: RunnerRow | undefined;
    let bestScore = Infinity;
    for (let draw = 0; draw < draws; draw++) {
        const drawn = draw + pickIndex(input, candidates.length - draw);
        [indexes[draw], indexes[drawn]] = [indexes[drawn]!, indexes[draw]!];
        const index = indexes[draw]!;
        const score = computeScore(input, candidates[index]!, loads[index]!);
        if (best === undefined || score < bestScore) {
            best = candidates[index]!;
            bestScore = score;
        }
    }
    return best!;
}

/** Finds the runner with the best score that has the prefix cached and stays within the load bound. */
function findHolder(
    input: RoutingInput,
    prefix: string,
    candidates: readonly RunnerRow[],
    { loads, mean }: CandidateLoads,
): { readonly runner: RunnerRow | undefined; readonly held: boolean; } {
    const bound = input.options.affinityLoadFactor * mean + input.options.affinityLoadSlack;
    let runner: RunnerRow | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    let held = false;
    for (let index = 0; index < candidates.length; index++) {
        const candidate = candidates[index]!;
        if (!candidate.cachedPrefixes.has(prefix)) {
            continue;
        }
        held = true;
        const score = computeScore(input, candidate, loads[index]!);
        if (loads[index]! < bound && score < lowest) {
            runner = candidate;
            lowest = score;
        }
    }
    return { runner, held };
}

/** Finds the runner that all entry instances prefer for a prefix, if it stays within the load bound. */
function findPreferred(
    input: RoutingInput,
    prefix: string,
    candidates: readonly RunnerRow[],
    { loads, mean }: CandidateLoads,
): RunnerRow | undefined {
    const prefixHash = scoreRendezvous(prefix, "");
    let preferred = 0;
    let highest = -1;
    for (let index = 0; index < candidates.length; index++) {
        const mixed = Math.imul(prefixHash ^ candidates[index]!.affinityHash, 0x85EBCA6B);
        const score = (mixed ^ (mixed >>> 15)) >>> 0;
        if (score > highest) {
            preferred = index;
            highest = score;
        }
    }
    const bound = input.options.affinityLoadFactor * mean + input.options.affinityLoadSlack;
    return loads[preferred]! < bound ? candidates[preferred] : undefined;
}

function findAffinity(
    input: RoutingInput,
    candidates: readonly RunnerRow[],
    loads: CandidateLoads,
): RunnerRow | undefined {
    if (input.prefix === undefined || candidates.length === 1) {
        return undefined;
    }
    const { runner, held } = findHolder(input, input.prefix, candidates, loads);
    // Reports of a new prefix arrive late; without a common choice each entry instance would warm another runner.
    return held ? runner : findPreferred(input, input.prefix, candidates, loads);
}

function selectReason(panic: boolean, count: number, affinity: boolean): RoutingReason {
    if (panic) {
        return "panic";
    }
    if (count === 1) {
        return "only-candidate";
    }
    return affinity ? "prefix-affinity" : "least-loaded";
}

/**
 * Selects the runner of a request. The cost depends on the size of the subset, not on that of the fleet.
 *
 * @param input - subset, wanted weights, prefix and runners to leave out; nothing is changed
 * @returns the runner with the reason, or why there is none
 */
export function selectRunner(input: RoutingInput): RoutingDecision {
    const found = findCandidates(input);
    const { candidates, panic } = found;
    if (candidates.length === 0) {
        return explainNone(input, found);
    }
    const loads = estimateLoads(input, candidates);
    const affinity = findAffinity(input, candidates, loads);
    const runner = affinity ??
        (candidates.length === 1 ? candidates[0]! : chooseOfDrawn(input, candidates, loads.loads));
    const reason = selectReason(panic, candidates.length, affinity !== undefined);
    return { kind: "selected", runner, reason, candidates: candidates.length };
}
