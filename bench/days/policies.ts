import {
    resolveRoutingOptions,
    type RoutingOptions,
    type RunnerRow,
    selectRunner,
} from "../../src/runtime/routing/index.js";
import type { Milliseconds, RandomSource } from "../../src/types/index.js";

/** What a policy chooses from. */
export interface ChoiceInput {
    readonly runners: RunnerRow[];
    readonly zone: string;
    readonly excluded: ReadonlySet<string>;
    readonly now: Milliseconds;
    readonly random: RandomSource;
}

/** Policy of a gateway. */
export interface Policy {
    /** True if requests wait in the gateway for a free place; else they go to an engine at once. */
    readonly queues: boolean;
    /** True if requests that have missed their target start after those that have not. */
    readonly ranksLate: boolean;
    choose(input: ChoiceInput): RunnerRow | undefined;
}

/** As the gateways of the users' platform are set. */
const routing: RoutingOptions = resolveRoutingOptions({
    comparedCandidates: 6,
    waitingWeight: 5,
    reportExpiry: 600_000,
    failuresUntilEjected: 2,
    ejectionDuration: 1_000,
});

export const routingOptions = routing;

function listServing({ excluded, runners }: ChoiceInput): RunnerRow[] {
    return runners.filter(({ instance, phase }) => phase === "serving" && !excluded.has(instance));
}

function createRoundRobin(): Policy {
    let position = 0;
    return {
        queues: false,
        ranksLate: false,
        choose: input => {
            const serving = listServing(input);
            return serving[position++ % Math.max(1, serving.length)];
        },
    };
}

function createOwn(queues: boolean, ranksLate: boolean): Policy {
    return {
        queues,
        ranksLate,
        choose: ({ excluded, now, random, runners, zone }) => {
            const decision = selectRunner({
                subset: { deployment: "model", runners },
                zone,
                region: zone,
                manifestDigest: "model@1",
                acceptedDigests: new Set(["model@2"]),
                prefix: undefined,
                excluded,
                now,
                random,
                options: routing,
            });
            return decision.kind === "selected" ? decision.runner : undefined;
        },
    };
}

/** Policies by name; each gateway has its own. */
export const policies: Readonly<Record<string, () => Policy>> = {
    own: () => createOwn(true, true),
    "own by arrival": () => createOwn(true, false),
    "own without queue": () => createOwn(false, false),
    "round robin": createRoundRobin,
    "least outstanding": () => ({
        queues: false,
        ranksLate: false,
        choose: input =>
            listServing(input).reduce<RunnerRow | undefined>(
                (best, row) => best === undefined || row.outstanding < best.outstanding ? row : best,
                undefined,
            ),
    }),
};
