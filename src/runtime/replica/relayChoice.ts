import type { Milliseconds } from "../../types/index.js";

/** Options of the choice of the next relay to try. */
export interface RelayChoiceOptions {
    /** Number of relays that are followed at the same time. */
    readonly parents: number;
}

/** Input of {@link chooseRelay}. */
export interface RelayChoiceInput {
    /** Addresses of the relays, most preferred first; some may no longer exist. */
    readonly addresses: readonly string[];
    /** Addresses to which a stream is open, whether or not the relay has responded. */
    readonly open: ReadonlySet<string>;
    /** Number of open streams whose relay has responded. */
    readonly connected: number;
    /** Last attempt at each relay that has not responded since then. */
    readonly failures: ReadonlyMap<string, RelayFailure>;
    /** Monotonic time since which no relay has been connected; undefined if one is. */
    readonly disconnectedSince: Milliseconds | undefined;
    readonly now: Milliseconds;
    readonly options: RelayChoiceOptions;
}

/** End of a stream on which a relay did not respond, or no longer did. */
export interface RelayFailure {
    readonly failedAt: Milliseconds;
    /** Monotonic time before which the relay is not tried again. */
    readonly retryAt: Milliseconds;
}

/** Relays that are tried in addition to the wanted number, since addresses may be stale. */
const extraAttempts = 2;
/** Time without any relay after which one more is tried at the same time. */
const attemptInterval: Milliseconds = 200;
/** Maximum number of relays that are tried at the same time. */
const maximumAttempts = 32;

/**
 * Computes how many streams may be open: a few more than are wanted, and more the longer there is no relay, so that many
 * addresses that no longer exist do not delay the first relay for long.
 */
function computeMaximumStreams({ disconnectedSince, now, options }: RelayChoiceInput): number {
    const additional = disconnectedSince === undefined ? 0 : Math.floor((now - disconnectedSince) / attemptInterval);
    const base = options.parents + extraAttempts;
    return Math.max(base, Math.min(maximumAttempts, base + additional));
}

/**
 * Chooses the next relay to try. Relays that have not failed come first, in the order of preference. Of the others, the
 * one that was not tried for the longest time follows, so that each of them has its turn.
 *
 * @param input - addresses, streams and earlier failures
 * @returns its address; undefined if none is to be tried now
 */
export function chooseRelay(input: RelayChoiceInput): string | undefined {
    const { addresses, connected, failures, now, open, options } = input;
    if (connected >= options.parents || open.size >= computeMaximumStreams(input)) {
        return undefined;
    }
    const candidates = addresses.filter(address =>
        !open.has(address) && (failures.get(address)?.retryAt ?? -Infinity) <= now
    );
    const readFailure = (address: string): Milliseconds => failures.get(address)?.failedAt ?? -Infinity;
    return candidates.reduce<string | undefined>(
        (best, address) => best === undefined || readFailure(address) < readFailure(best) ? address : best,
        undefined,
    );
}
