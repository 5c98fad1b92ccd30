import type { AvailabilityZone, Region } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { computeExpectedTimes, computeSlowdown, type ExpectedTimes, type RequestCost } from "../cost/index.js";
import { explainNoCandidate, findCandidates } from "./candidates.js";
import { estimateLoad, estimateServerLoad } from "./load.js";
import type { RoutingDecision, RoutingInput, RoutingReason, RunnerRow } from "./types.js";

function readLocationPenalty(runner: RunnerRow, zone: AvailabilityZone, region: Region, input: RoutingInput): number {
    if (runner.zone === zone) {
        return 0;
    }
    return runner.region === region ? input.options.zonePenalty : input.options.regionPenalty;
}

/** Expected loads of the candidates, in the order of the candidates. */
interface CandidateLoads {
    readonly loads: readonly number[];
    readonly mean: number;
}

/**
 * Computes the mean of the reported loads, which replaces the report of a runner as it ages.
 *
 * @param candidates - candidates, at least one
 * @returns mean number of requests
 */
export function computeMeanReported(candidates: readonly RunnerRow[]): number {
    let reported = 0;
    for (const runner of candidates) {
        reported += runner.reportedLoad;
    }
    return reported / candidates.length;
}

function estimateLoads(input: RoutingInput, candidates: readonly RunnerRow[]): CandidateLoads {
    const meanReported = computeMeanReported(candidates);
    const loads: number[] = [];
    let sum = 0;
    for (const runner of candidates) {
        const load = estimateLoad(runner, meanReported, input.now, input.options);
        loads.push(load);
        sum += load;
    }
    return { loads, mean: sum / candidates.length };
}

/**
 * Computes the score of a runner from its load. The request itself is counted too where runners state how slow they are,
 * so that an idle slow one scores worse than an idle fast one.
 *
 * @param input - location of this process and options
 * @param runner - the runner
 * @param load - its expected load
 * @returns the score; the candidate with the lowest one is selected
 */
export function computeScore(input: RoutingInput, runner: RunnerRow, load: number): number {
    const penalty = readLocationPenalty(runner, input.zone, input.region, input);
    return input.options.costAware ?
        (load + 1) * computeSlowdown(runner.speed, input.now).stated + penalty :
        load + penalty;
}

function pickIndex(input: RoutingInput, size: number): number {
    return Math.min(size - 1, Math.floor(input.random.next() * size));
}

/**
 * Creates a function that draws distinct indexes at random. Only the indexes that were exchanged are kept, so that a few
 * draws of many candidates take constant time.
 */
function createDraw(input: RoutingInput, size: number): () => number {
    const exchanged = new Map<number, number>();
    let draw = 0;
    return () => {
        const drawn = draw + pickIndex(input, size - draw);
        const index = exchanged.get(drawn) ?? drawn;
        exchanged.set(drawn, exchanged.get(draw) ?? draw);
        draw++;
        return index;
    };
}

/** Draws distinct candidates at random and returns the one with the lowest score; only their loads are computed. */
function selectOfDrawn(input: RoutingInput, candidates: readonly RunnerRow[]): RunnerRow {
    const meanReported = computeMeanReported(candidates);
    const drawIndex = createDraw(input, candidates.length);
    const draws = Math.min(candidates.length, Math.max(2, input.options.comparedCandidates));
    let best: RunnerRow | undefined;
    let bestScore = Infinity;
    for (let draw = 0; draw < draws; draw++) {
        const runner = candidates[drawIndex()]!;
        const score = computeScore(input, runner, estimateLoad(runner, meanReported, input.now, input.options));
        if (best === undefined || score < bestScore) {
            best = runner;
            bestScore = score;
        }
    }
    return best!;
}

/** Runner with the times that are expected there. */
interface TimedRunner {
    readonly runner: RunnerRow;
    readonly expected: ExpectedTimes;
}

/**
 * Shares of expected times in the score, beside the rest of the time to the first event. That of the end counts since a
 * request that runs for longer delays later ones. The wait for a slot is known from old reports only, while the prompts
 * that this process sent are known exactly. In trials of the scenario "heavy tail, overload" of bench:days, seeds 1 to 3,
 * 65.8 % were on time with the whole wait and 69.8 % with 0.3 of it.
 */
const scoreShares = { slotWait: 0.3, end: 0.02 } as const;

function computeTimeScore({ end, firstEvent, slotWait }: ExpectedTimes): number {
    return firstEvent - (1 - scoreShares.slotWait) * slotWait + scoreShares.end * (end - firstEvent);
}

/**
 * Computes the score of a runner from the times that are expected there.
 *
 * @param input - location of this process and options
 * @param cost - expected cost of the request
 * @param runner - the runner
 * @param meanReported - mean of the reported loads of the candidates
 * @returns the times, and the score; the candidate with the lowest one is selected
 */
export function scoreByTime(
    input: RoutingInput,
    cost: RequestCost,
    runner: RunnerRow,
    meanReported: number,
): { readonly expected: ExpectedTimes; readonly score: number; } {
    const { now, options } = input;
    const expected = computeExpectedTimes(cost, estimateServerLoad(runner, meanReported, now, options));
    // A waiting request weighs as much as the reading of the usual prompt, in which the penalties are given.
    const penaltyUnit = cost.usualPrefill / (1 + options.waitingWeight);
    const penalty = penaltyUnit * readLocationPenalty(runner, input.zone, input.region, input);
    return { expected, score: computeTimeScore(expected) + penalty };
}

/**
 * Draws distinct candidates at random and returns the one with the shortest expected time. Of those that are drawn, one
 * whose memory would be exceeded is used only if all others would be, too.
 */
function selectByTime(input: RoutingInput, cost: RequestCost, candidates: readonly RunnerRow[]): TimedRunner {
    const meanReported = computeMeanReported(candidates);
    const drawIndex = createDraw(input, candidates.length);
    const draws = Math.min(candidates.length, Math.max(2, input.options.comparedCandidates));
    let best: TimedRunner | undefined;
    let bestScore = Infinity;
    // Further candidates are considered as long as the request fits nowhere.
    for (let draw = 0; draw < draws || (draw < candidates.length && best?.expected.fits === false); draw++) {
        const runner = candidates[drawIndex()]!;
        const { expected, score } = scoreByTime(input, cost, runner, meanReported);
        const isBetterFit = expected.fits && best?.expected.fits === false;
        if (best === undefined || isBetterFit || (score < bestScore && expected.fits === best.expected.fits)) {
            best = { runner, expected };
            bestScore = score;
        }
    }
    return best!;
}

/**
 * Finds the runner with the lowest score among those that have the prefix cached and a load below the affinity bound.
 * `held` tells whether any candidate has the prefix cached.
 */
function findCachedRunner(
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

/**
 * Finds the runner that all entry instances prefer for a prefix by rendezvous hashing. Returns undefined if its load is
 * not below the affinity bound.
 */
function findRendezvousRunner(
    input: RoutingInput,
    prefix: string,
    candidates: readonly RunnerRow[],
    { loads, mean }: CandidateLoads,
): RunnerRow | undefined {
    const prefixHash = scoreRendezvous(prefix, "");
    let preferred = 0;
    let highest = -1;
    for (let index = 0; index < candidates.length; index++) {
        const mixedHash = Math.imul(prefixHash ^ candidates[index]!.affinityHash, 0x85EBCA6B);
        const score = (mixedHash ^ (mixedHash >>> 15)) >>> 0;
        if (score > highest) {
            preferred = index;
            highest = score;
        }
    }
    const bound = input.options.affinityLoadFactor * mean + input.options.affinityLoadSlack;
    return loads[preferred]! < bound ? candidates[preferred] : undefined;
}

function findAffinityRunner(
    input: RoutingInput,
    candidates: readonly RunnerRow[],
): RunnerRow | undefined {
    if (input.prefix === undefined || candidates.length === 1) {
        return undefined;
    }
    const loads = estimateLoads(input, candidates);
    const { runner, held } = findCachedRunner(input, input.prefix, candidates, loads);
    // Until load reports name a new prefix, rendezvous hashing gives all entry instances the same choice; otherwise
    // each of them would fill the prefix cache of another runner.
    return held ? runner : findRendezvousRunner(input, input.prefix, candidates, loads);
}

function selectReason(panic: boolean, count: number, otherwise: RoutingReason): RoutingReason {
    if (panic) {
        return "panic";
    }
    return count === 1 ? "only-candidate" : otherwise;
}

/**
 * Selects the runner for a request. The cost depends on the size of the subset, not on that of the fleet.
 *
 * @param input - subset, accepted weights, prefix and runners to exclude; not changed
 * @returns the runner with the reason, or the reason why no runner can be selected
 */
export function selectRunner(input: RoutingInput): RoutingDecision {
    const found = findCandidates(input);
    const { candidates, panic } = found;
    if (candidates.length === 0) {
        return explainNoCandidate(input, found);
    }
    // Requests with a prefix go where it is cached, which saves more than a shorter queue does.
    if (input.options.costAware && input.cost !== undefined && input.prefix === undefined) {
        const { expected, runner } = selectByTime(input, input.cost, candidates);
        const reason = selectReason(panic, candidates.length, "least-time");
        return { kind: "selected", runner, reason, candidates: candidates.length, expected };
    }
    const affinity = findAffinityRunner(input, candidates);
    const runner = affinity ?? (candidates.length === 1 ? candidates[0]! : selectOfDrawn(input, candidates));
    const reason = selectReason(
        panic,
        candidates.length,
        affinity === undefined ? "least-loaded" : "prefix-affinity",
    );
    return { kind: "selected", runner, reason, candidates: candidates.length };
}
