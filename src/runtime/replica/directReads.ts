import type { Milliseconds } from "../../types/index.js";

/** Options of the decision whether a process reads the platform's log itself. */
export interface DirectReadOptions {
    /** Age of the relayed records above which a process reads the log itself. */
    readonly relayStaleAfter: Milliseconds;
    /** Time by which the reader of each rank waits longer than the one before. */
    readonly rankDelay: Milliseconds;
    /** Longest time by which a reader waits because of its rank, however many instances of lower rank have ended. */
    readonly maximumRankDelay: Milliseconds;
}

/** Input of {@link mayReadDirectly}. */
export interface DirectReadInput {
    /** Instances that relay records, this one included. */
    readonly instances: readonly string[];
    readonly self: string;
    /**
     * Monotonic time at which the relayed records that an instance of lower rank has read were current; undefined if
     * there are none. Those that this process or one of higher rank has read must not keep it from reading.
     */
    readonly relayedCurrentAt: Milliseconds | undefined;
    /** Monotonic time at which this process started. */
    readonly startedAt: Milliseconds;
    readonly now: Milliseconds;
    readonly options: DirectReadOptions;
}

/**
 * Computes from when on this process reads a topic with many changes from the log itself. The process of rank 0 always
 * does, and relays the records; the others follow, one rank after the other, when the relayed records become too old.
 * That process keeps reading until an instance of lower rank reads again.
 *
 * @param input - who relays, and the age of what was relayed
 * @returns monotonic time after which this process is to read, until the input changes; `-Infinity` for rank 0
 */
export function computeDirectReadTime(input: Omit<DirectReadInput, "now">): Milliseconds {
    const rank = input.instances.filter(instance => instance < input.self).length;
    if (rank === 0) {
        return -Infinity;
    }
    const { maximumRankDelay, rankDelay, relayStaleAfter } = input.options;
    const current = Math.max(input.relayedCurrentAt ?? input.startedAt, input.startedAt);
    return current + relayStaleAfter + Math.min((rank - 1) * rankDelay, maximumRankDelay);
}

/**
 * Decides whether this process reads a topic with many changes from the log itself.
 *
 * @param input - who relays, and the age of what was relayed
 * @returns true if this process is to read now
 */
export function mayReadDirectly(input: DirectReadInput): boolean {
    return input.now > computeDirectReadTime(input);
}
