import type { RandomSource } from "../../src/types/index.js";
import { sleep } from "../../src/utils/index.js";
import type { EngineCounts } from "../platform/standIn/engineLifetime.js";
import { applyFault, drawDuration, faultMixes, planFaults } from "./faults.js";
import { type SoakDeploymentOptions, startSoakDeployment } from "./soakDeployment.js";
import type { CallCounts } from "./streamCaller.js";
import type { VersionTimes } from "./versionWatch.js";

/** Options of {@link runWeightSoak}. */
export interface WeightSoakOptions extends SoakDeploymentOptions {
    /** Name of the mix of faults. */
    readonly mix: string;
    /** Time during which faults are drawn, in milliseconds. Default: 30 to 45 s, drawn by the seed */
    readonly duration?: number | undefined;
    /** File to write the timeline to. Default: none */
    readonly timelinePath?: string | undefined;
}

/** Result of a soak. */
export interface WeightSoakResult extends EngineCounts, CallCounts, VersionTimes {
    readonly seed: number;
    readonly mix: string;
    /** True if all engines held the last version within a time limit after the last fault. */
    readonly settled: boolean;
    /** Lines of the timeline with tokens that were made with wrong weights. */
    readonly violations: readonly string[];
}

const callers = 12;
/** Time limit for the last version after the last fault has ended. */
const convergenceTimeLimitMilliseconds = 30_000;
/** Time for which callers continue after the engines have converged. */
const lastCallsMilliseconds = 3_000;

const defaultVersionInterval = [1_500, 8_500] as const;

function planVersions(
    random: RandomSource,
    duration: number,
    [shortest, longest]: readonly [number, number] = defaultVersionInterval,
): readonly number[] {
    const times: number[] = [];
    for (let at = 1_000; at < duration; at += drawDuration(random, shortest, longest)) {
        times.push(at);
    }
    return times;
}

/**
 * Declares versions and lets faults act that are drawn by a seed, while callers request streams.
 *
 * @param options - seed, mix of faults and size
 * @returns what engines and callers have seen
 */
export async function runWeightSoak(options: WeightSoakOptions): Promise<WeightSoakResult> {
    const { seed } = options;
    const mix = faultMixes[options.mix];
    if (mix === undefined) {
        throw new Error(`unknown mix of faults: ${options.mix}`);
    }
    await using deployment = await startSoakDeployment(options);
    const { createRandom, declare, hasDeclared, timeline, versions } = deployment;
    const duration = options.duration ?? drawDuration(createRandom("duration"), 30_000, 45_000);
    const acting: Promise<void>[] = [];
    const planned = [
        ...planFaults(mix.faults, duration, createRandom).map(fault => ({
            at: fault.at,
            act: () => void acting.push(applyFault(fault, deployment)),
        })),
        ...planVersions(createRandom("versions"), duration, mix.versionInterval)
            .map((at, index) => ({ at, act: () => declare(index + 2) })),
    ].sort((left, right) => left.at - right.at);

    const stopCallers = deployment.startCallers(callers);
    timeline.record("faults begin");
    const startedAt = performance.now();
    for (const { act, at } of planned) {
        await sleep(startedAt + at - performance.now());
        act();
    }
    await Promise.all(acting);
    timeline.record("faults end");
    const endsAt = performance.now() + convergenceTimeLimitMilliseconds;
    while (!hasDeclared() && performance.now() < endsAt) {
        await sleep(50);
    }
    await sleep(lastCallsMilliseconds);
    const settled = hasDeclared();
    timeline.record(settled ? "all engines hold the last version" : "some engines do not hold the last version");
    const calls = await stopCallers();
    if (options.timelinePath !== undefined) {
        deployment.writeTimeline(options.timelinePath);
    }
    return {
        seed,
        mix: options.mix,
        ...deployment.count(),
        ...calls,
        ...versions.summarize(),
        settled,
        violations: deployment.listViolations(),
    };
}
