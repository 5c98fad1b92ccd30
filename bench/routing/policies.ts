import {
    resolveRoutingOptions,
    type RoutingOptions,
    type RunnerRow,
    type RunnerSubset,
    selectRunner,
} from "../../src/runtime/routing/index.js";
import type { Milliseconds, RandomSource } from "../../src/types/index.js";

/** Input of a routing policy. */
export interface ChoiceInput {
    readonly subset: RunnerSubset;
    /** Load of each runner from its last report, without a correction for requests sent since. */
    readonly reported: ReadonlyMap<string, number>;
    readonly zone: string;
    readonly prefix: string;
    readonly excluded: ReadonlySet<string>;
    readonly now: Milliseconds;
    readonly random: RandomSource;
}

/** Chooses a runner for a request; each entry instance has a policy with its own state. */
export type Policy = (input: ChoiceInput) => RunnerRow | undefined;

function createRoundRobin(): Policy {
    let position = 0;
    return ({ subset, excluded }) => {
        const candidates = subset.runners.filter(({ instance }) => !excluded.has(instance));
        position += 1;
        return candidates[position % Math.max(1, candidates.length)];
    };
}

function createLeastReportedLoad(): Policy {
    return ({ subset, reported, excluded }) => {
        let best: RunnerRow | undefined;
        let lowest = Number.POSITIVE_INFINITY;
        for (const runner of subset.runners) {
            const load = reported.get(runner.instance) ?? 0;
            if (!excluded.has(runner.instance) && load < lowest) {
                best = runner;
                lowest = load;
            }
        }
        return best;
    };
}

function createTwoChoices(options: RoutingOptions, affinity = true): Policy {
    return ({ subset, zone, prefix, excluded, now, random }) => {
        const decision = selectRunner({
            subset,
            zone,
            region: zone,
            manifestDigest: "digest",
            prefix: affinity ? prefix : undefined,
            excluded,
            now,
            random,
            options,
        });
        return decision.kind === "selected" ? decision.runner : undefined;
    };
}

/** Creates the policies that are compared, by name; one is created for each entry instance. */
export const policies: Readonly<Record<string, () => Policy>> = {
    "round robin": createRoundRobin,
    "least reported load": createLeastReportedLoad,
    "two choices without affinity": () => createTwoChoices(resolveRoutingOptions(), false),
    "two choices with affinity": () => createTwoChoices(resolveRoutingOptions()),
};
