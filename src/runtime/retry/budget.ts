import type { Milliseconds } from "../../types/index.js";
import type { FleetRetryAllowance, RetryBudget, RetryOptions } from "./types.js";

/** Number of seconds for which a new process is credited with `budgetPerSecond` at its start. */
const initialCreditSeconds = 10;

/**
 * Creates the retry budget of a process that has just started.
 *
 * @param now - monotonic time
 * @param options - rates and maximum of the budget
 * @returns the budget
 */
export function createRetryBudget(now: Milliseconds, options: RetryOptions): RetryBudget {
    return {
        available: Math.min(options.budgetMaximum, options.budgetPerSecond * initialCreditSeconds),
        updatedAt: now,
    };
}

function creditTime(budget: RetryBudget, now: Milliseconds, options: RetryOptions): void {
    const gain = Math.max(0, now - budget.updatedAt) / 1_000 * options.budgetPerSecond;
    budget.available = Math.min(options.budgetMaximum, budget.available + gain);
    budget.updatedAt = Math.max(budget.updatedAt, now);
}

/**
 * Credits the budget for a request; called once for each request of a caller, never for its retries.
 *
 * @param budget - budget to change
 * @param now - monotonic time
 * @param options - rates and maximum of the budget
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
 * @param options - rates and maximum of the budget
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
 * Share of the allowance that the gateways' budgets may hold, and that they gain over one window. The allowance can be
 * drawn on three times in one window: by the balance saved before it, by the gain during it, and by the initial balance
 * of restarted processes. The remaining tenth is left for requests that are counted late.
 */
const gatewayAllowanceShare = 0.3;
/**
 * Factor by which the gain per request is reduced, since requests that are in progress when a window begins count
 * toward the window before.
 */
const requestGainFactor = 0.5;

/**
 * Divides the retry allowance of a fleet among its gateways, so that their budgets together stay within it in any
 * window.
 *
 * @param options - options of a process with a budget of its own
 * @param allowance - retries of all gateways together
 * @param gateways - number of gateways that share the allowance
 * @returns the options of one gateway. The budget of a gateway can always hold one retry, so the bound holds for up to
 * three gateways for each ten retries of the allowance.
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
    const gatewayRetries = fleetRetries * gatewayAllowanceShare / Math.max(1, gateways);
    return {
        ...options,
        budgetShare: fleetRetryShare * requestGainFactor,
        budgetPerSecond: gatewayRetries * 1_000 / fleetRetryWindow,
        budgetMaximum: Math.max(1, gatewayRetries),
    };
}
