import type { Milliseconds } from "../../types/index.js";
import type { RetryBudget, RetryOptions } from "./types.js";

/** Seconds of the budget's time-based gain that a new process starts with. */
const initialSeconds = 10;

/**
 * Creates the retry budget of a process that has just started.
 *
 * @param now - monotonic time
 * @param options - gains and bound of the budget
 * @returns the budget
 */
export function createRetryBudget(now: Milliseconds, options: RetryOptions): RetryBudget {
    return { available: Math.min(options.budgetMaximum, options.budgetPerSecond * initialSeconds), updatedAt: now };
}

function creditTime(budget: RetryBudget, now: Milliseconds, options: RetryOptions): void {
    const gain = Math.max(0, now - budget.updatedAt) / 1_000 * options.budgetPerSecond;
    budget.available = Math.min(options.budgetMaximum, budget.available + gain);
    budget.updatedAt = Math.max(budget.updatedAt, now);
}

/**
 * Credits the budget for a caller's request; called once for a request, never for its retries.
 *
 * @param budget - budget to change
 * @param now - monotonic time
 * @param options - gains and bound of the budget
 */
export function creditRequest(budget: RetryBudget, now: Milliseconds, options: RetryOptions): void {
    creditTime(budget, now, options);
    budget.available = Math.min(options.budgetMaximum, budget.available + options.budgetShare);
}

/**
 * Takes one retry from the budget.
 *
 * @param budget - budget to change
 * @param now - monotonic time
 * @param options - gains and bound of the budget
 * @returns false if the budget holds less than one retry
 */
export function takeRetry(budget: RetryBudget, now: Milliseconds, options: RetryOptions): boolean {
    creditTime(budget, now, options);
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}
