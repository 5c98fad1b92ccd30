import type { Milliseconds } from "../../types/index.js";

/** State of a token bucket; it may be overdrawn, which delays the next bytes. */
export interface TokenBucket {
    /** Bytes that may be sent now; negative if overdrawn. */
    bytes: number;
    /** Monotonic time of the last refill. */
    refilledAt: Milliseconds;
}

/** Options of a byte budget. */
export interface BudgetOptions {
    /** Bytes per second of one direction of the link. */
    readonly bytesPerSecond: number;
    /** Share of the link that transfers may use while no request is in progress. Default: 0.95. */
    readonly idleShare: number;
    /** Share that transfers may use while requests are in progress. Default: 0.5. */
    readonly busyShare: number;
    /** Maximum time for which unused bytes accumulate. Default: 10 ms. */
    readonly burst: Milliseconds;
}

/**
 * Completes the options of a byte budget with their defaults.
 *
 * @param partial - the link's speed, and options that differ from the defaults
 * @returns all options
 */
export function resolveBudgetOptions(
    partial: Partial<BudgetOptions> & Pick<BudgetOptions, "bytesPerSecond">,
): BudgetOptions {
    return {
        bytesPerSecond: partial.bytesPerSecond,
        idleShare: partial.idleShare ?? 0.95,
        busyShare: partial.busyShare ?? 0.5,
        burst: partial.burst ?? 10,
    };
}

/**
 * Computes the rate that transfers may use; live requests take precedence.
 *
 * @param options - options of the budget
 * @param requestsInProgress - number of live requests of the instance
 * @returns bytes per second
 */
export function computeTransferRate(options: BudgetOptions, requestsInProgress: number): number {
    return options.bytesPerSecond * (requestsInProgress > 0 ? options.busyShare : options.idleShare);
}

/**
 * Adds the bytes that have become available since the last refill.
 *
 * @param bucket - changed in place
 * @param rate - bytes per second
 * @param burst - maximum time for which unused bytes accumulate
 * @param now - monotonic time
 */
export function refillBucket(bucket: TokenBucket, rate: number, burst: Milliseconds, now: Milliseconds): void {
    const elapsed = Math.max(0, now - bucket.refilledAt);
    bucket.bytes = Math.min(bucket.bytes + rate * elapsed / 1_000, rate * burst / 1_000);
    bucket.refilledAt = now;
}

/**
 * Takes bytes if the bucket is not overdrawn. They may be more than the bucket contains, which overdraws it.
 *
 * @param bucket - refilled bucket; changed in place
 * @param bytes - bytes wanted
 * @param rate - bytes per second
 * @returns 0 if the bytes were taken, else the time to wait before the next attempt
 */
export function takeFromBucket(bucket: TokenBucket, bytes: number, rate: number): Milliseconds {
    if (bucket.bytes >= 0) {
        bucket.bytes -= bytes;
        return 0;
    }
    return Math.max(1, -bucket.bytes / rate * 1_000);
}
