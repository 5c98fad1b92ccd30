import type { Milliseconds } from "../../types/index.js";

/** Options of {@link createUnreachableGateways}. */
export interface UnreachableOptions {
    /** Time for which each call to a gateway has to fail until the gateway counts as gone. */
    readonly goneAfter: Milliseconds;
}

/** Other gateways that do not respond. */
export interface UnreachableGateways {
    /** Records that a gateway has responded. */
    recordReached(address: string): void;
    /** Records that a gateway has not responded to a call. */
    recordFailed(address: string, now: Milliseconds): void;
    /** Resets all times, since the calls may have failed because this process was not running. */
    restart(now: Milliseconds): void;
    /** Forgets the gateways that are no longer registered. */
    keepOnly(addresses: ReadonlySet<string>): void;
    /** Counts one more time that the registration of a gateway was dropped, which makes the next time longer. */
    recordDropped(address: string): void;
    /** @returns the gateway without a response whose last call is longest ago; undefined if all respond */
    findNextToCall(): string | undefined;
    /**
     * Lists the gateways that have not responded for long enough.
     *
     * @param now - monotonic time
     * @returns their addresses
     */
    listGone(now: Milliseconds): readonly string[];
}

interface UnreachableGateway {
    readonly since: Milliseconds;
    readonly failures: number;
    readonly calledAt: Milliseconds;
}

/** Fewest calls that have to fail, since a single one may be lost. */
const minimumFailures = 3;
/** Maximum number of times that the time until a gateway counts as gone is doubled. */
const maximumDoublings = 5;
/** Maximum number of gateways whose dropped registrations are remembered; the oldest ones are forgotten first. */
const maximumDropped = 1_000;

/**
 * Creates the table of the gateways that do not respond.
 *
 * @param options - time until a gateway counts as gone
 * @returns the table, empty
 */
export function createUnreachableGateways({ goneAfter }: UnreachableOptions): UnreachableGateways {
    const unreachable = new Map<string, UnreachableGateway>();
    const dropped = new Map<string, number>();

    return {
        recordReached: address => void unreachable.delete(address),
        recordFailed: (address, now) => {
            const { failures, since } = unreachable.get(address) ?? { failures: 0, since: now };
            unreachable.set(address, { since, failures: failures + 1, calledAt: now });
        },
        restart: now => {
            for (const [address, row] of unreachable) {
                unreachable.set(address, { ...row, since: now, failures: 0 });
            }
        },
        keepOnly: addresses => {
            for (const address of [...unreachable.keys()].filter(known => !addresses.has(known))) {
                unreachable.delete(address);
            }
        },
        recordDropped: address => {
            const times = dropped.get(address) ?? 0;
            dropped.delete(address);
            dropped.set(address, times + 1);
            unreachable.delete(address);
            if (dropped.size > maximumDropped) {
                dropped.delete(dropped.keys().next().value!);
            }
        },
        findNextToCall: () => [...unreachable].sort((left, right) => left[1].calledAt - right[1].calledAt)[0]?.[0],
        listGone: now =>
            [...unreachable].flatMap(([address, { failures, since }]) => {
                const doublings = Math.min(dropped.get(address) ?? 0, maximumDoublings);
                return failures >= minimumFailures && now - since >= goneAfter * 2 ** doublings ? [address] : [];
            }),
    };
}
