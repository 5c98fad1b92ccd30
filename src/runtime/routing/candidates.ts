import type { BlockedReason, Milliseconds } from "../../types/index.js";
import type {
    CandidateInput,
    Candidates,
    EligibilityInput,
    IneligibleReason,
    LeftOutReason,
    RoutingDecision,
    RoutingInput,
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
    const { manifestDigest } = runner;
    const accepted = manifestDigest === input.manifestDigest ||
        (manifestDigest !== undefined && input.acceptedDigests?.has(manifestDigest) === true);
    return runner.phase === "serving" && accepted && input.now - runner.reportedAt <= input.options.reportExpiry;
}

/**
 * Explains why a runner may not get a request, whatever its state.
 *
 * @param runner - location of the runner
 * @param input - regions in which the request may be served, and the evacuated zones
 * @returns the reason; undefined if it may get the request
 */
export function findIneligibility(
    runner: Pick<RunnerRow, "region" | "zone">,
    { allowedRegions, isEvacuated }: Pick<EligibilityInput, "allowedRegions" | "isEvacuated">,
): IneligibleReason | undefined {
    if (allowedRegions !== undefined && !allowedRegions.has(runner.region)) {
        return "outside-regions";
    }
    return isEvacuated?.(runner.zone) === true ? "evacuated" : undefined;
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

function isPaused(runner: RunnerRow, now: Milliseconds): boolean {
    return runner.pausedUntil > now || runner.trial === "running";
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

/**
 * Explains why no runner can be selected.
 *
 * @param input - subset and accepted weights
 * @param found - candidates, of which there are none
 * @returns the decision with the reason and the time after which the caller may retry
 */
export function explainNoCandidate(input: RoutingInput, { leftOut, resumesAt }: Candidates): RoutingDecision {
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
 * Finds the first reason for which a runner may not be selected. Ejection is left out, since it is ignored when too many
 * runners are ejected.
 *
 * @param runner - the runner
 * @param input - accepted weights, allowed regions and time
 * @returns the reason; undefined if the runner may be selected
 */
export function findLeftOutReason(
    runner: RunnerRow,
    input: CandidateInput,
): Exclude<LeftOutReason, "ejected"> | undefined {
    // Properties are read where they are needed, since this is called for each runner of each decision.
    const ineligible = findIneligibility(runner, input);
    if (ineligible !== undefined) {
        return ineligible;
    }
    if (runner.draining) {
        return "draining";
    }
    if (!isServing(runner, input)) {
        return "not-serving";
    }
    if (runner.unverified) {
        return "unverified";
    }
    if (isPaused(runner, input.now)) {
        return "paused";
    }
    if (runner.pace !== undefined && runner.pace.nextAt > input.now) {
        return "rate-limited";
    }
    return runner.slowStart !== undefined && runner.slowStart.nextAt > input.now + (input.slowStartAhead ?? 0) ?
        "slow-start" :
        undefined;
}

/** Times at which runners that are left out accept requests again, by the reasons that end by themselves. */
const resumptions: Partial<Record<LeftOutReason, (runner: RunnerRow, now: Milliseconds) => Milliseconds>> = {
    paused: ({ pausedUntil }, now) => Math.max(now, pausedUntil),
    "rate-limited": ({ pace }, now) => findNextShare(pace!, now),
    "slow-start": ({ slowStart }, now) => findNextShare(slowStart!, now),
};

/**
 * Lists the runners that may be selected. Ejected ones are left out, unless more than the panic share of the serving
 * runners is ejected.
 *
 * @param input - subset, accepted weights and runners to exclude; not changed
 * @returns the candidates, and the number of runners that are left out, by reason
 */
export function findCandidates(input: CandidateInput): Candidates {
    const { excluded, now } = input;
    const serving: RunnerRow[] = [];
    /** Number of the serving runners that are ejected. */
    let ejected = 0;
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
    let resumesAt: Milliseconds | undefined;
    for (const runner of input.subset.runners) {
        const reason = findLeftOutReason(runner, input);
        if (reason !== undefined) {
            leftOut[reason]++;
            const resumption = resumptions[reason]?.(runner, now);
            resumesAt = resumption === undefined ? resumesAt : Math.min(resumesAt ?? Infinity, resumption);
        }
        else if (excluded.size === 0 || !excluded.has(runner.instance)) {
            serving.push(runner);
            if (runner.ejectedUntil > now) {
                ejected++;
            }
        }
    }
    const panic = ejected / Math.max(1, serving.length) > input.options.panicShare;
    if (panic || ejected === 0 || ejected === serving.length) {
        return { candidates: serving, panic, leftOut, resumesAt };
    }
    const candidates = serving.filter(({ ejectedUntil }) => ejectedUntil <= now);
    return { candidates, panic, leftOut: { ...leftOut, ejected }, resumesAt };
}
