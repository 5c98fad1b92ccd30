import type { Milliseconds } from "../../src/types/index.js";
import type { RequestClass } from "./parameters.js";

/** Results of one class of requests, as shares of its callers. */
export interface ClassResult {
    readonly inAim: number;
    readonly answered: number;
    /** Refused at least once. */
    readonly refused: number;
    /** Refused again after they had returned. */
    readonly refusedTwice: number;
    /** Refused after they had waited for more than an eighth of the target. */
    readonly refusedLate: number;
}

/**
 * Results of one scenario under one policy, as written to the JSON output. "In aim" means that the first token arrived
 * within the target.
 */
export interface ScenarioResult {
    /** Name of the scenario. */
    readonly day: string;
    readonly policy: string;
    readonly requests: number;
    /** Answers per second whose first token arrived within the target. */
    readonly goodput: number;
    /** Share of the callers whose first token arrived within the target. */
    readonly inAimShare: number;
    /** Share of the callers that got a first token before their timeout, within the target or later. */
    readonly answeredShare: number;
    /** Mean value of a request: 1 for a first token within the target, 0.25 for a later one, 0 for none. */
    readonly worth: number;
    /** Lowest in-aim share of the callers that arrived in the same second. */
    readonly worstSecond: number;
    readonly classes: Readonly<Record<string, ClassResult>>;
    /** Lowest in-aim share of a client account. */
    readonly worstAccount: number;
    /** Refusals that callers got, per request; a caller that tries again can be refused more than once. */
    readonly refusedShare: number;
    /** Retries by gateways, per request. */
    readonly resent: number;
    /** Retries by callers, per request. */
    readonly returned: number;
    readonly firstTokenP95: Milliseconds;
    readonly firstTokenP99: Milliseconds;
    /** In-aim share of the largest tenth of the requests by tokens, relative to all. */
    readonly largestTenth: number;
    /** Time from the declaration until every engine holds the version; undefined if this never happens. */
    readonly timeToReplicas: Milliseconds | undefined;
}

/** Caller of one request, with all its tries. */
export interface Caller {
    readonly id: number;
    readonly account: string;
    readonly requestClass: RequestClass;
    readonly begunAt: Milliseconds;
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Length of the answer that the caller states; undefined if it states none. */
    readonly statedTokens?: number | undefined;
    tries: number;
    /** Refusals that it got. */
    refusals: number;
    /** True if it waited longer than an eighth of its target before a refusal. */
    refusedLate: boolean;
    /** True if the first token arrived within the target. */
    metTarget: boolean;
    /** True if the first token arrived before the caller's timeout. */
    answered: boolean;
}

/** Callers and counts of one simulated scenario. */
export interface ScenarioOutcome {
    /** Name of the scenario. */
    readonly day: string;
    readonly policy: string;
    readonly seconds: number;
    readonly callers: readonly Caller[];
    readonly refused: number;
    readonly resent: number;
    readonly returned: number;
    readonly firstTokenP95: Milliseconds;
    readonly firstTokenP99: Milliseconds;
    readonly timeToReplicas: Milliseconds | undefined;
}

/** Value of a late answer relative to one within the target, as the users state it for streams. */
const lateAnswerWorth = 0.25;

function computeOnTimeShare(callers: readonly Caller[]): number {
    return callers.length === 0 ? 1 : callers.filter(({ metTarget }) => metTarget).length / callers.length;
}

function summarizeClasses(callers: readonly Caller[]): Record<string, ClassResult> {
    const names = new Set(callers.map(({ requestClass }) => requestClass.name));
    return Object.fromEntries(
        [...names].sort().map(name => {
            const members = callers.filter(({ requestClass }) => requestClass.name === name);
            const computeShare = (has: (caller: Caller) => boolean) => members.filter(has).length / members.length;
            return [name, {
                inAim: computeOnTimeShare(members),
                answered: computeShare(({ answered }) => answered),
                refused: computeShare(({ refusals }) => refusals > 0),
                refusedTwice: computeShare(({ refusals }) => refusals > 1),
                refusedLate: computeShare(({ refusedLate }) => refusedLate),
            }];
        }),
    );
}

/** Finds the lowest share of callers within the target among all groups. */
function findLowestShare(callers: readonly Caller[], readGroup: (caller: Caller) => string): number {
    const groups = new Map<string, Caller[]>();
    for (const caller of callers) {
        const group = readGroup(caller);
        groups.set(group, [...groups.get(group) ?? [], caller]);
    }
    return Math.min(...[...groups.values()].map(computeOnTimeShare));
}

function computeLargestTenth(callers: readonly Caller[]): number {
    const bySize = [...callers].sort((left, right) =>
        right.promptTokens + right.answerTokens - left.promptTokens - left.answerTokens
    );
    return computeOnTimeShare(bySize.slice(0, Math.ceil(bySize.length / 10))) / computeOnTimeShare(callers);
}

/**
 * Summarizes a simulated scenario.
 *
 * @param outcome - callers and counts
 * @returns shares over all callers, by class, and for the worst second and client account
 */
export function summarizeScenario(outcome: ScenarioOutcome): ScenarioResult {
    const { callers, day, firstTokenP95, firstTokenP99, policy, refused, resent, returned, seconds, timeToReplicas } =
        outcome;
    const answeredShare = callers.filter(({ answered }) => answered).length / Math.max(1, callers.length);
    return {
        day,
        policy,
        requests: callers.length,
        goodput: callers.filter(({ metTarget }) => metTarget).length / seconds,
        inAimShare: computeOnTimeShare(callers),
        answeredShare,
        worth: computeOnTimeShare(callers) * (1 - lateAnswerWorth) + answeredShare * lateAnswerWorth,
        worstSecond: findLowestShare(callers, ({ begunAt }) => String(Math.floor(begunAt / 1_000))),
        classes: summarizeClasses(callers),
        worstAccount: findLowestShare(callers, ({ account }) => account),
        refusedShare: refused / callers.length,
        resent: resent / callers.length,
        returned: returned / callers.length,
        firstTokenP95,
        firstTokenP99,
        largestTenth: computeLargestTenth(callers),
        timeToReplicas,
    };
}
