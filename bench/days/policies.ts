import type { AdmissionOptions } from "../../src/runtime/admission/index.js";
import type { ExpectedTimes, RequestCost } from "../../src/runtime/cost/index.js";
import {
    resolveRoutingOptions,
    type RoutingOptions,
    type RunnerRow,
    selectRunner,
} from "../../src/runtime/routing/index.js";
import type { Milliseconds, RandomSource } from "../../src/types/index.js";

/** Input of a routing policy. */
export interface ChoiceInput {
    readonly runners: RunnerRow[];
    readonly zone: string;
    readonly excluded: ReadonlySet<string>;
    readonly now: Milliseconds;
    readonly random: RandomSource;
    /** Undefined unless the policy routes by cost. */
    readonly cost: RequestCost | undefined;
}

/** Chosen runner. */
export interface Choice {
    readonly runner: RunnerRow;
    /** Times that are expected there; undefined unless the policy routes by cost. */
    readonly expected?: ExpectedTimes | undefined;
}

/** Queueing and routing policy of a gateway. */
export interface Policy {
    /** True if requests wait in the gateway for a free place; otherwise they are sent to an engine at once. */
    readonly queuesRequests: boolean;
    /** True if requests that can no longer meet their target start after those that can. */
    readonly deprioritizesLate: boolean;
    /** Options of the admission that differ from those of the platform before ranks decided first. */
    readonly admission?: Partial<AdmissionOptions> | undefined;
    /** True if requests are routed by their expected cost. Default: false. */
    readonly costAware?: boolean | undefined;
    choose(input: ChoiceInput): Choice | undefined;
}

/** Settings of the gateways on the users' platform. */
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
        queuesRequests: false,
        deprioritizesLate: false,
        choose: input => {
            const serving = listServing(input);
            const runner = serving[position++ % Math.max(1, serving.length)];
            return runner && { runner };
        },
    };
}

function createProductPolicy(
    queuesRequests: boolean,
    deprioritizesLate: boolean,
    { admission, costAware = false }: Pick<Policy, "admission" | "costAware"> = {},
): Policy {
    const options = { ...routing, costAware };
    return {
        admission,
        queuesRequests,
        deprioritizesLate,
        costAware,
        choose: ({ cost, excluded, now, random, runners, zone }) => {
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
                options,
                cost,
            });
            return decision.kind === "selected" ? decision : undefined;
        },
    };
}

/** Creates a policy, by name; "own" is the routing of this project. Each gateway has an instance of its own. */
export const policies: Readonly<Record<string, () => Policy>> = {
    own: () => createProductPolicy(true, true),
    "own by rank": () => createProductPolicy(true, true, { admission: { rankReservation: true } }),
    "own planned": () =>
        createProductPolicy(true, true, { admission: { rankReservation: true, plannedRetryAfter: true } }),
    "own by cost": () => createProductPolicy(true, true, { costAware: true }),
    "own by arrival": () => createProductPolicy(true, false),
    "own without queue": () => createProductPolicy(false, false),
    "round robin": createRoundRobin,
    "least outstanding": () => ({
        queuesRequests: false,
        deprioritizesLate: false,
        choose: input =>
            listServing(input).reduce<Choice | undefined>(
                (best, runner) =>
                    best === undefined || runner.outstanding < best.runner.outstanding ? { runner } : best,
                undefined,
            ),
    }),
};
