import { computeSlowdown, type ExpectedTimes } from "../cost/index.js";
import { findCandidates, findLeftOutReason } from "./candidates.js";
import { estimateLoad } from "./load.js";
import { computeMeanReported, computeScore, scoreByTime } from "./selection.js";
import type { LeftOutReason, RoutingInput, RunnerRow } from "./types.js";

/** What the selection knows of a runner, and what follows for a request. */
export interface ExplainedRunner {
    readonly runner: RunnerRow;
    /** Why the runner may not be selected; `excluded` if the calling process has excluded it. Undefined for candidates. */
    readonly leftOut: LeftOutReason | "excluded" | undefined;
    /** Score of a candidate: the one with the lowest score of those that are drawn is selected. */
    readonly score: number | undefined;
    /** Undefined for runners that are left out, and if the request is not routed by cost. */
    readonly expected: ExpectedTimes | undefined;
    /** Factor on the times of the runner. */
    readonly slowdown: number;
    /** Time since the last report of its load was made, in milliseconds. */
    readonly reportAge: number;
}

function scoreRunner(
    input: RoutingInput,
    runner: RunnerRow,
    meanReported: number,
): Pick<ExplainedRunner, "expected" | "score"> {
    if (input.options.costAware && input.cost !== undefined && input.prefix === undefined) {
        return scoreByTime(input, input.cost, runner, meanReported);
    }
    const load = estimateLoad(runner, meanReported, input.now, input.options);
    return { expected: undefined, score: computeScore(input, runner, load) };
}

/**
 * Explains where a request would be sent now. Neither the runners nor the random source are changed or used, so the
 * random draw among the candidates is left out.
 *
 * @param input - input of the selection
 * @returns all runners, candidates by ascending score before those that are left out
 */
export function explainSelection(input: RoutingInput): readonly ExplainedRunner[] {
    const candidates = new Set(findCandidates(input).candidates);
    const meanReported = candidates.size === 0 ? 0 : computeMeanReported([...candidates]);
    const explained = input.subset.runners.map((runner): ExplainedRunner => ({
        runner,
        leftOut: candidates.has(runner) ?
            undefined :
            findLeftOutReason(runner, input) ?? (input.excluded.has(runner.instance) ? "excluded" : "ejected"),
        ...(candidates.has(runner) ?
            scoreRunner(input, runner, meanReported) :
            { expected: undefined, score: undefined }),
        slowdown: computeSlowdown(runner.speed, input.now).total,
        reportAge: Math.max(0, input.now - runner.reportedAt),
    }));
    return explained.sort((left, right) => (left.score ?? Infinity) - (right.score ?? Infinity) || 0);
}
