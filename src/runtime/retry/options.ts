import type { RetryOptions } from "./types.js";

/**
 * Fills in the defaults of the retry options.
 *
 * @param partial - options that differ from the defaults
 * @returns all options
 */
export function resolveRetryOptions(partial: Partial<RetryOptions> = {}): RetryOptions {
    return {
        budgetShare: 0.1,
        budgetPerSecond: 1,
        budgetMaximum: 100,
        maximumAttempts: 3,
        maximumCrashes: 2,
        condemnedDuration: 600_000,
        suspicionDuration: 60_000,
        maximumSuspects: 40_000,
        answerMemory: 30_000,
        ...partial,
    };
}
