import type { Milliseconds } from "../../types/index.js";
import { computeSlowdown, type ServerLoad } from "../cost/index.js";
import type { RoutingOptions, RunnerLoadReport, RunnerOutcome, RunnerRow } from "./types.js";

/** Largest factor by which the ejection duration grows with successive ejections. */
const maximumEjectionFactor = 8;

/** Most past values of `outstanding` that are kept for each runner; older ones are dropped. */
const maximumOutstandingSamples = 64;

/**
 * Returns how many requests this process had in progress on the runner when the report was made, and records how many
 * it has now.
 */
function readOutstandingAt(runner: RunnerRow, reportedAt: Milliseconds, now: Milliseconds): number {
    const { samples } = runner;
    samples.push({ at: now, outstanding: runner.outstanding });
    while (samples.length > maximumOutstandingSamples || (samples[1] !== undefined && samples[1].at <= reportedAt)) {
        samples.shift();
    }
    return samples[0]!.at <= reportedAt ? samples[0]!.outstanding : runner.outstanding;
}

/**
 * Applies a load report to a runner's row.
 *
 * @param runner - row to change
 * @param report - the report; ignored if it is older than the last one that was applied
 * @param now - monotonic time at which the report arrived
 */
export function applyLoadReport(runner: RunnerRow, report: RunnerLoadReport, now: Milliseconds): void {
    const reportedAt = now - report.age;
    if (reportedAt < runner.reportedAt) {
        return;
    }
    runner.reportedAt = reportedAt;
    runner.manifestDigest = report.manifestDigest;
    runner.phase = report.phase;
    runner.draining = report.draining;
    runner.capacity = Math.max(1, report.capacity);
    runner.reportedLoad = Math.max(0, report.running + report.queued - readOutstandingAt(runner, reportedAt, now));
    runner.reportedWaiting = Math.max(0, report.queued - runner.awaitingFirst);
    runner.cachedPrefixes = new Set(report.cachedPrefixes);
}

/**
 * Estimates the load of a runner. As a report ages, its weight decays in favor of the mean of all candidates, so that a
 * runner that has stopped reporting does not look idle.
 *
 * @param runner - the runner
 * @param meanReported - mean of the reported loads of the candidates
 * @param now - monotonic time
 * @param options - half-lives of reports and weight of waiting requests
 * @returns expected load in requests
 */
export function estimateLoad(
    runner: RunnerRow,
    meanReported: number,
    now: Milliseconds,
    options: RoutingOptions,
): number {
    const age = Math.max(0, now - runner.reportedAt);
    const weight = Math.exp(-Math.LN2 * age / options.loadHalfLife);
    const waitingShare = 2 ** (-age / options.waitingHalfLife);
    const waiting = runner.awaitingFirst + runner.reportedWaiting * waitingShare;
    return runner.outstanding + runner.reportedLoad * weight + meanReported * (1 - weight) +
        options.waitingWeight * waiting;
}

/**
 * Estimates what a runner has to do, by the requests that this process sent and by the last report.
 *
 * @param runner - the runner
 * @param meanReported - mean of the reported loads of the candidates, which replaces a report as it ages
 * @param now - monotonic time
 * @param options - half-lives of reports
 * @returns requests, work and speed of the runner
 */
export function estimateServerLoad(
    runner: RunnerRow,
    meanReported: number,
    now: Milliseconds,
    options: RoutingOptions,
): ServerLoad {
    const age = Math.max(0, now - runner.reportedAt);
    const weight = 2 ** (-age / options.loadHalfLife);
    const others = runner.reportedLoad * weight + meanReported * (1 - weight);
    return {
        own: runner.outstanding,
        work: runner.work,
        others,
        othersWaiting: Math.min(others, runner.reportedWaiting * 2 ** (-age / options.waitingHalfLife)),
        reportAge: age,
        slowdown: computeSlowdown(runner.speed, now).total,
    };
}

/**
 * Records how an attempt on a runner ended, and ejects the runner after consecutive failures. Does not change
 * `outstanding`; the calling code counts requests in progress.
 *
 * @param runner - row to change
 * @param outcome - `failed` only for faults of the runner, not for refusals and errors of the caller
 * @param now - monotonic time
 * @param options - failures until ejection and duration of ejection
 */
export function recordOutcome(
    runner: RunnerRow,
    outcome: RunnerOutcome,
    now: Milliseconds,
    options: RoutingOptions,
): void {
    if (outcome === "succeeded") {
        runner.consecutiveFailures = 0;
        runner.ejections = 0;
        return;
    }
    if (outcome !== "failed") {
        return;
    }
    runner.consecutiveFailures += 1;
    if (runner.consecutiveFailures < options.failuresUntilEjected || now < runner.ejectedUntil) {
        return;
    }
    const factor = Math.min(maximumEjectionFactor, 2 ** runner.ejections);
    runner.ejections += 1;
    runner.ejectedUntil = now + options.ejectionDuration * factor;
}
