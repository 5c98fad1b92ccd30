import type { Milliseconds } from "../../types/index.js";
import type { FleetRetryAllowance, RetryBudget, RetryOptions } from "./types.js";

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

/**
 * Parts of the allowance that a window may see: what was saved before it, what is gained in it, and what processes that
 * started anew begin with. The rest is left for requests that are counted late.
 */
const windowPart = 0.3;
/** Part of the share that is used, since requests in progress when a window begins count for the one before. */
const sharePart = 0.5;

/**
 * Divides the allowance of a fleet among its gateways, so that their budgets together stay within it in any window.
 *
 * @param options - options of a single process
 * @param allowance - retries of all gateways together
 * @param gateways - gateways that share it
 * @returns the options of one gateway; a gateway may always save one whole retry, so the bound holds for up to
 * three gateways for each ten retries of the allowance
 */
export function divideRetryAllowance(
    options: RetryOptions,
    allowance: FleetRetryAllowance,
    gateways: number,
): RetryOptions {
    const { fleetRetries, fleetRetryShare, fleetRetryWindow } = allowance;
    if (fleetRetries === 0) {
        return options;
    }
    const own = fleetRetries * windowPart / Math.max(1, gateways);
    return {
        ...options,
        budgetShare: fleetRetryShare * sharePart,
        budgetPerSecond: own * 1_000 / fleetRetryWindow,
        budgetMaximum: Math.max(1, own),
    };
}
