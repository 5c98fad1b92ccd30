import type { Clock, Milliseconds, RandomSource } from "../../types/index.js";

/** Options of {@link createRelaySilence}. */
export interface RelaySilenceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Monotonic time of the newest answer of any relay; undefined before the first. */
    readonly readHeardAt: () => Milliseconds | undefined;
    /** Time without an answer after which the relays count as silent. */
    readonly silentAfter: Milliseconds;
    /**
     * Longest random time that is added, so that processes which lose their relays at the same moment do not turn to the
     * platform at the same moment.
     */
    readonly jitter: Milliseconds;
}

/**
 * Creates the check whether a process has to read from the platform itself because no relay answers.
 *
 * @param options - when a relay was heard, and limits
 * @returns function that tells whether the relays are silent now; before the first answer the jitter alone counts, from
 * the time of this call
 */
export function createRelaySilence(options: RelaySilenceOptions): () => boolean {
    const { clock, silentAfter } = options;
    const startedAt = clock.monotonic();
    const delay = options.random.next() * options.jitter;
    return () => {
        const heardAt = options.readHeardAt();
        const silentAt = heardAt === undefined ? startedAt : heardAt + silentAfter;
        return clock.monotonic() > silentAt + delay;
    };
}
