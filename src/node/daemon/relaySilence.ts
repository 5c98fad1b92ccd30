import type { Clock, Milliseconds, RandomSource } from "../../types/index.js";

/** Options of {@link createRelaySilenceCheck}. */
export interface RelaySilenceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the monotonic time of the newest response of any relay; undefined before the first. */
    readonly readHeardAt: () => Milliseconds | undefined;
    /** Time without a response after which the relays count as silent. */
    readonly silentAfter: Milliseconds;
    /**
     * Longest random delay that is added, so that processes that lose their relays at the same time do not all call the
     * platform at the same time.
     */
    readonly jitter: Milliseconds;
}

/**
 * Creates the check whether a process has to read from the platform itself because no relay responds.
 *
 * @param options - time of the newest response, and limits
 * @returns function that tells whether the relays are silent now; before the first response only the jitter applies,
 * counted from this call
 */
export function createRelaySilenceCheck(options: RelaySilenceOptions): () => boolean {
    const { clock, silentAfter } = options;
    const startedAt = clock.monotonic();
    const delay = options.random.next() * options.jitter;
    return () => {
        const heardAt = options.readHeardAt();
        const silentAt = heardAt === undefined ? startedAt : heardAt + silentAfter;
        return clock.monotonic() > silentAt + delay;
    };
}
