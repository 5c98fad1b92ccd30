import type { Milliseconds, RandomSource } from "../../types/index.js";

/** Kind of a failed read from the origin: `refused` if the connection was refused, `other` for all other failures. */
export type OriginFailureKind = "refused" | "other";

/** Number of doublings after which the delay no longer grows. */
const maximumDoublings = 4;

/** Upper limit of the delay after a refused connection, so that readers are back soon after the origin is. */
const longestDelayAfterRefusal: Milliseconds = 250;

/**
 * Time between two connections that are refused, on average over all members: with more members each one waits for
 * longer, so that they do not return to the origin all at once.
 */
const refusalInterval: Milliseconds = 12.5;

/** Input of {@link computeOriginBackoff}. */
export interface OriginBackoffInput {
    readonly kind: OriginFailureKind;
    /** Number of consecutive failures, from 1. */
    readonly failures: number;
    /** Delay after the first failure. */
    readonly firstDelay: Milliseconds;
    /** Number of members of the set. */
    readonly members: number;
    readonly random: RandomSource;
}

const longestDelays: Readonly<Record<OriginFailureKind, (members: number) => Milliseconds>> = {
    refused: members => Math.max(longestDelayAfterRefusal, members * refusalInterval),
    other: () => Infinity,
};

/**
 * Computes the time for which an agent does not ask the origin after a failure. It doubles with each failure, with jitter,
 * since an origin that stalls has too many readers. A refused connection costs the origin nothing, so the delay after
 * one has a lower limit, which grows with the number of members.
 *
 * @param input - kind and number of failures, and the members that may return to the origin
 * @returns the delay
 */
export function computeOriginBackoff(input: OriginBackoffInput): Milliseconds {
    const { failures, firstDelay, kind, members, random } = input;
    const doubled = firstDelay * 2 ** Math.min(failures - 1, maximumDoublings);
    return Math.min(doubled, longestDelays[kind](members)) * (0.5 + random.next() / 2);
}

/** What an agent knows of the origin after a failed read. */
export interface OriginAvoidance {
    /** Monotonic time until which the origin is not asked, after a failure. */
    readonly originAvoidedUntil: Milliseconds;
    /** Monotonic time of the last failure if the connection was refused; undefined otherwise. */
    readonly originRefusedAt?: Milliseconds | undefined;
    /** Monotonic times at which the first holder of a chunk became known, by position. */
    readonly availableSince: ReadonlyMap<number, Milliseconds>;
    readonly now: Milliseconds;
}

/**
 * Tells whether an agent may ask the origin. After a refused connection, a chunk that has become available since then
 * shows that the origin has sent it to another member, so the rest of the delay is not waited for.
 *
 * @param avoidance - failures of the origin, and the chunks that became available
 * @returns true if the origin may be asked now
 */
export function mayAskOrigin({ availableSince, now, originAvoidedUntil, originRefusedAt }: OriginAvoidance): boolean {
    return originAvoidedUntil <= now ||
        (originRefusedAt !== undefined && [...availableSince.values()].some(since => since > originRefusedAt));
}
