import type { ClientAccount, InstanceId, Milliseconds, Offset, Refusal, WeightSet } from "../../types/index.js";

/** Options of a ledger. */
export interface LedgerOptions {
    /** Age after which a key is refused. Default: 600,000 ms. */
    readonly maximumKeyAge: Milliseconds;
    /** Difference between a caller's clock and ours that is allowed for. Default: 2,000 ms. */
    readonly clockSkew: Milliseconds;
    /** Most entries; when full, further keys are refused as not run. Default: 100,000. */
    readonly maximumEntries: number;
    /** Most bytes of stored answers; older answers are dropped first, their keys are kept. Default: 8 MiB. */
    readonly maximumAnswerBytes: number;
}

/** Answer that is kept for repeats of a key. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
    /** Weights that answered; undefined for plain services. */
    readonly weights?: WeightSet | undefined;
}

/** State of a key that this process has accepted. */
export type LedgerState = "running" | "finished" | "unknown" | "not-run";

/** Key that this process has accepted. */
export interface LedgerRow {
    readonly key: string;
    readonly clientAccount: ClientAccount;
    readonly bodyDigest: string;
    /** Wall-clock time in the key, in milliseconds since 1970. */
    readonly createdAt: number;
    state: LedgerState;
    answer: StoredAnswer | undefined;
}

/** Keys that this process has accepted; created by `createLedger`. */
export interface Ledger {
    readonly options: LedgerOptions;
    readonly rows: Map<string, LedgerRow>;
    /** Keys with a stored answer, oldest answer first. */
    readonly answeredKeys: Set<string>;
    storedBytes: number;
    /** Newest creation time of a key whose row was removed, in milliseconds since 1970. */
    forgottenUntil: Milliseconds;
}

/** Owners of keys since a moment, as this process learned of them. */
export interface OwnershipPeriod {
    readonly placementOffset: Offset;
    readonly owners: readonly InstanceId[];
    /** Set during a change of owners: keys whose owner differs are accepted by neither. */
    readonly nextOwners: readonly InstanceId[] | undefined;
    /** Wall-clock time at which this process applied the record, in milliseconds since 1970. */
    readonly appliedAt: number;
    /** Wall-clock time at which the first record with these owners was written, by the proposer's clock. */
    readonly writtenAt: Milliseconds;
}

/** Periods of ownership in one deployment, oldest first; created by `createOwnershipHistory`. */
export interface OwnershipHistory {
    readonly self: InstanceId;
    /** Wall-clock start of this process in milliseconds since 1970. */
    readonly startedAt: number;
    readonly periods: OwnershipPeriod[];
    /** Wall-clock time up to which other processes may have owned keys unnoticed; 0 if never. */
    interruptedAt: Milliseconds;
}

/** Input of `offerKey`. */
export interface KeyOffer {
    readonly key: string;
    readonly clientAccount: ClientAccount;
    readonly bodyDigest: string;
    /** False if this process's hold on its copy has lapsed. */
    readonly held: boolean;
    /** Wall-clock time at which the hold lapsed; without it a refusal during a lapse is always `unknown`. */
    readonly lapsedAt?: Milliseconds | undefined;
    /** Wall-clock time in milliseconds since 1970. */
    readonly now: number;
}

/** Result of `offerKey`. */
export type KeyDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "replay"; readonly answer: StoredAnswer; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };
