import type { AvailabilityZone, BlockedReason, Milliseconds, Region } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { estimateLoad } from "./load.js";
import type {
    CandidateInput,
    Candidates,
    EligibilityInput,
    IneligibleReason,
    RoutingDecision,
    RoutingInput,
    RoutingReason,
    RunnerPace,
    RunnerRow,
} from "./types.js";

/** Seconds after which a caller may retry when no runner can answer, by reason. */
const retryAfterSeconds = {
    "no-runner": 5,
    "not-serving": 3,
    draining: 2,
    "outside-regions": 5,
    evacuated: 5,
} as const;

type UnavailableReason = keyof typeof retryAfterSeconds;

/** Seconds until the outcome of a trial request is expected; see {@link TrialState}. */
const expectedTrialSeconds = 0.2;

function isServing(runner: RunnerRow, input: CandidateInput): boolean {
    const { manifestDigest, phase } = runner;
    const accepted = manifestDigest === input.manifestDigest ||
        (manifestDigest !== undefined && input.acceptedDigests?.has(manifestDigest) === true);
    return phase === "serving" && accepted && input.now - runner.reportedAt <= input.options.reportExpiry;
}

/**
 * Explains why a runner may not get a request, whatever its state.
 *
 * @param runner - location of the runner
 * @param input - regions in which the request may be served, and the evacuated zones
 * @returns the reason; undefined if it may get the request
 */
export function findIneligibility(
    { region, zone }: Pick<RunnerRow, "region" | "zone">,
    { allowedRegions, isEvacuated }: Pick<EligibilityInput, "allowedRegions" | "isEvacuated">,
): IneligibleReason | undefined {
    if (allowedRegions?.has(region) === false) {
        return "outside-regions";
    }
    return isEvacuated?.(zone) === true ? "evacuated" : undefined;
}

/**
 * Explains why no runner may get a request, whatever the state of the runners.
 *
 * @param input - runners, the regions in which the request may be served, and the evacuated zones
 * @returns the reason; undefined if a runner may get it, or if there are no runners
 */
export function explainIneligible(input: EligibilityInput): IneligibleReason | undefined {
    if (input.allowedRegions?.size === 0) {
        return "outside-regions";
    }
    let found: IneligibleReason | undefined;
    for (const runner of input.subset.runners) {
        const reason = findIneligibility(runner, input);
        if (reason === undefined) {
            return undefined;
        }
        found = found === "evacuated" ? found : reason;
    }
    return found;
}

/** Callers may retry at another process, so they are not asked to wait longer than for one share of the limit. */
function findNextShare({ interval, nextAt }: RunnerPace, now: Milliseconds): Milliseconds {
    return Math.min(nextAt, now + interval);
}

function isPaused({ pausedUntil, trial }: RunnerRow, now: Milliseconds): boolean {
    return pausedUntil > now || trial === "running";
}

/**
 * Explains why runners that could be selected later may not be selected now.
 *
 * @param leftOut - number of runners that are left out, by reason
 * @returns the reason
 */
export function explainBlocked(leftOut: Candidates["leftOut"]): BlockedReason {
    if (leftOut["rate-limited"] > 0) {
        return "rate-limited";
    }
    return leftOut["slow-start"] > 0 && leftOut.paused === 0 ? "slow-start" : "turned-away";
}

function explainNoCandidate(input: RoutingInput, { leftOut, resumesAt }: Candidates): RoutingDecision {
    if (resumesAt !== undefined) {
        const reason = explainBlocked(leftOut);
        const shortest = reason === "slow-start" ? 0 : expectedTrialSeconds;
        const seconds = Math.max(shortest, (resumesAt - input.now) / 1_000);
        return { kind: "none", reason, candidates: 0, retryAfterSeconds: seconds };
    }
    const { runners } = input.subset;
    let reason: UnavailableReason = runners.length === 0 ? "no-runner" : "not-serving";
    if (
        runners.some(runner =>
            runner.draining && findIneligibility(runner, input) === undefined && isServing(runner, input)
        )
    ) {
        reason = "draining";
    }
    reason = explainIneligible(input) ?? reason;
    return { kind: "none", reason, candidates: 0, retryAfterSeconds: retryAfterSeconds[reason] };
}

/**
 * Lists the runners that may be selected. Ejected ones are left out, unless more than the panic share of the serving
 * runners is ejected.
 *
 * @param input - subset, accepted weights and runners to exclude; not changed
 * @returns the candidates, and the number of runners that are left out, by reason
 */
export function findCandidates(input: CandidateInput): Candidates {
    const serving: RunnerRow[] = [];
    const healthy: RunnerRow[] = [];
    const leftOut = {
        "outside-regions": 0,
        evacuated: 0,
        draining: 0,
        "not-serving": 0,
        unverified: 0,
        paused: 0,
        "rate-limited": 0,
        "slow-start": 0,
        ejected: 0,
    };
    const { slowStartAhead = 0 } = input;
    let resumesAt: Milliseconds | undefined;
    for (const runner of input.subset.runners) {
        const ineligible = findIneligibility(runner, input);
        if (ineligible !== undefined) {
            leftOut[ineligible]++;
        }
        else if (runner.draining) {
            leftOut.draining++;
        }
        else if (!isServing(runner, input)) {
            leftOut["not-serving"]++;
        }
        else if (runner.unverified) {
            leftOut.unverified++;
        }
        else if (isPaused(runner, input.now)) {
            leftOut.paused++;
            resumesAt = Math.min(resumesAt ?? Infinity, Math.max(input.now, runner.pausedUntil));
        }
        else if (runner.pace !== undefined && runner.pace.nextAt > input.now) {
            leftOut["rate-limited"]++;
            resumesAt = Math.min(resumesAt ?? Infinity, findNextShare(runner.pace, input.now));
        }
        else if (runner.slowStart !== undefined && runner.slowStart.nextAt > input.now + slowStartAhead) {
            leftOut["slow-start"]++;
            resumesAt = Math.min(resumesAt ?? Infinity, findNextShare(runner.slowStart, input.now));
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
    return load + readLocationPenalty(runner, input.zone, input.region, input);
}

function pickIndex(input: RoutingInput, size: number): number {
    return Math.min(size - 1, Math.floor(input.random.next() * size));
}

/** Draws distinct candidates at random and returns the one with the lowest score. */
function selectOfDrawn(input: RoutingInput, candidates: readonly RunnerRow[], loads: readonly number[]): RunnerRow {
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
    loads: CandidateLoads,
): RunnerRow | undefined {
    if (input.prefix === undefined || candidates.length === 1) {
        return undefined;
    }
    const { runner, held } = findCachedRunner(input, input.prefix, candidates, loads);
    // Until load reports name a new prefix, rendezvous hashing gives all entry instances the same choice; otherwise
    // each of them would fill the prefix cache of another runner.
    return held ? runner : findRendezvousRunner(input, input.prefix, candidates, loads);
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
    const loads = estimateLoads(input, candidates);
    const affinity = findAffinityRunner(input, candidates, loads);
    const runner = affinity ??
        (candidates.length === 1 ? candidates[0]! : selectOfDrawn(input, candidates, loads.loads));
    const reason = selectReason(panic, candidates.length, affinity !== undefined);
    return { kind: "selected", runner, reason, candidates: candidates.length };
}
