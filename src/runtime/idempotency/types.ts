import type { ClientAccount, InstanceId, Milliseconds, Offset, Refusal, WeightSet } from "../../types/index.js";

/** Options of a ledger. */
export interface LedgerOptions {
    /** Age after which a key is refused. Default: 600,000 ms. */
    readonly maximumKeyAge: Milliseconds;
    /** Largest assumed difference between the clocks of a caller and of this process. Default: 2,000 ms. */
    readonly clockSkew: Milliseconds;
    /** Most rows of the ledger; further keys are refused as not run. Default: 100,000. */
    readonly maximumEntries: number;
    /** Most bytes of stored answers; the oldest answers are dropped first, but their keys are kept. Default: 8 MiB. */
    readonly maximumAnswerBytes: number;
}

/** Answer that is stored to answer repeats of a key. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
    /** Weight set that computed the answer; undefined for plain services. */
    readonly weights?: WeightSet | undefined;
}

/**
 * State of the request of an accepted key. `unknown`: the request may have run; `not-run`: it certainly did not run, so
 * the key may be accepted again.
 */
export type LedgerState = "running" | "finished" | "unknown" | "not-run";

/** Row of the ledger: a key that this process has accepted. */
export interface LedgerRow {
    readonly key: string;
    readonly clientAccount: ClientAccount;
    readonly bodyDigest: string;
    /** Creation time in the key, by the caller's wall clock in milliseconds since 1970. */
    readonly createdAt: number;
    state: LedgerState;
    answer: StoredAnswer | undefined;
}

/** Keys that this process has accepted; created by `createLedger`. */
export interface Ledger {
    readonly options: LedgerOptions;
    /** Rows by key. */
    readonly rows: Map<string, LedgerRow>;
    /** Keys with a stored answer, oldest answer first. */
    readonly answeredKeys: Set<string>;
    storedBytes: number;
    /** Newest creation time of a key whose row was removed, in milliseconds since 1970. */
    forgottenUntil: Milliseconds;
}

/** Owners of keys from one placement record to the next record that changes them. */
export interface OwnershipPeriod {
    /** Offset of the newest placement record with these owners. */
    readonly placementOffset: Offset;
    readonly owners: readonly InstanceId[];
    /** Only during a change of owners: a key that has another owner under `nextOwners` is accepted by neither owner. */
    readonly nextOwners: readonly InstanceId[] | undefined;
    /** Wall-clock time at which this process applied the first record with these owners, in milliseconds since 1970. */
    readonly appliedAt: number;
    /** Wall-clock time at which the first record with these owners was written, by the clock of its writer. */
    readonly writtenAt: Milliseconds;
}

/** Periods of ownership in one deployment, oldest first; created by `createOwnershipHistory`. */
export interface OwnershipHistory {
    readonly self: InstanceId;
    /** Wall-clock start of this process in milliseconds since 1970. */
    readonly startedAt: number;
    readonly periods: OwnershipPeriod[];
    /** Newest wall-clock time at which other processes may have owned keys unnoticed by this one; 0 if never. */
    interruptedAt: Milliseconds;
}

/** Input of `offerKey`. */
export interface KeyOffer {
    readonly key: string;
    readonly clientAccount: ClientAccount;
    readonly bodyDigest: string;
    /** False if the hold of this process on its copy, which works like a lease, has lapsed. */
    readonly held: boolean;
    /** Wall-clock time at which the hold lapsed; if undefined, refusals after a lapse are always `unknown`. */
    readonly lapsedAt?: Milliseconds | undefined;
    /** Wall-clock time in milliseconds since 1970. */
    readonly now: number;
}

/** Result of `offerKey`. */
export type KeyDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "replay"; readonly answer: StoredAnswer; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };
