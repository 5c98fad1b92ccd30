import type { Milliseconds } from "../../src/types/index.js";

/** Sums of one day under one policy. */
export interface DayResult {
    readonly day: string;
    readonly policy: string;
    readonly requests: number;
    /** Answers whose first token came in time, for each second. */
    readonly goodput: number;
    readonly inAimShare: number;
    /** Share of the callers that got an answer, in time or late. */
    readonly answeredShare: number;
    /** Mean worth of an answer: one in time, a quarter late. */
    readonly worth: number;
    /** In-aim share of the second with the lowest one. */
    readonly worstSecond: number;
    readonly inAimByClass: Readonly<Record<"urgent" | "other", number>>;
    /** Lowest in-aim share of a client account. */
    readonly worstAccount: number;
    readonly refusedShare: number;
    /** Further attempts of gateways, and returns of callers, for each request. */
    readonly resent: number;
    readonly returned: number;
    readonly firstTokenP95: Milliseconds;
    /** Time from the declaration until every engine holds the version; undefined if the day has none or it never did. */
    readonly timeToReplicas: Milliseconds | undefined;
}

/** Caller with all its tries at one request. */
export interface Caller {
    readonly id: number;
    readonly account: string;
    readonly urgent: boolean;
    readonly begunAt: Milliseconds;
    readonly promptTokens: number;
    readonly answerTokens: number;
    tries: number;
    /** The first token came in time. */
    inAim: boolean;
    /** The first token came while the caller still waited. */
    answered: boolean;
}

/** What one day has left behind. */
export interface DayOutcome {
    readonly day: string;
    readonly policy: string;
    readonly seconds: number;
    readonly callers: readonly Caller[];
    readonly refused: number;
    readonly resent: number;
    readonly returned: number;
    readonly firstTokenP95: Milliseconds;
    readonly timeToReplicas: Milliseconds | undefined;
}

/** Worth of a late answer, as the users state it for streams. */
const lateWorth = 0.25;

function shareInAim(rows: readonly Caller[]): number {
    return rows.length === 0 ? 1 : rows.filter(({ inAim }) => inAim).length / rows.length;
}

/** Lowest in-aim share of any group of callers. */
function findLowestShare(callers: readonly Caller[], readGroup: (caller: Caller) => string): number {
    const groups = new Map<string, Caller[]>();
    for (const caller of callers) {
        const group = readGroup(caller);
        groups.set(group, [...groups.get(group) ?? [], caller]);
    }
    return Math.min(...[...groups.values()].map(shareInAim));
}

/**
 * Sums up a day.
 *
 * @param outcome - callers and counts
 * @returns shares of all callers, and of the worst second, class and account
 */
export function summarizeDay(outcome: DayOutcome): DayResult {
    const { callers, day, firstTokenP95, policy, refused, resent, returned, seconds, timeToReplicas } = outcome;
    const answeredShare = callers.filter(({ answered }) => answered).length / Math.max(1, callers.length);
    return {
        day,
        policy,
        requests: callers.length,
        goodput: callers.filter(({ inAim }) => inAim).length / seconds,
        inAimShare: shareInAim(callers),
        answeredShare,
        worth: shareInAim(callers) * (1 - lateWorth) + answeredShare * lateWorth,
        worstSecond: findLowestShare(callers, ({ begunAt }) => String(Math.floor(begunAt / 1_000))),
        inAimByClass: {
            urgent: shareInAim(callers.filter(({ urgent }) => urgent)),
            other: shareInAim(callers.filter(({ urgent }) => !urgent)),
        },
        worstAccount: findLowestShare(callers, ({ account }) => account),
        refusedShare: refused / callers.length,
        resent: resent / callers.length,
        returned: returned / callers.length,
        firstTokenP95,
        timeToReplicas,
    };
}
