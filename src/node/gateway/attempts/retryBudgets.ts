import {
    createRetryBudget,
    divideRetryAllowance,
    type RetryBudget,
    type RetryOptions,
} from "../../../runtime/retry/index.js";
import type { Clock } from "../../../types/index.js";
import type { RecordStore } from "../../replica/index.js";
import type { GatewaySettings } from "../../settings/index.js";
import type { GatewayList } from "../membership/gatewayList.js";

/** Retry budgets of a gateway, one for each service. */
export interface RetryBudgets {
    /** Finds the budget of a service. */
    readonly find: (service: string) => RetryBudget;
    /** Reads the retry options, which depend on the number of gateways. */
    readonly readOptions: () => RetryOptions;
}

/**
 * Creates the retry budgets of a gateway, which are a share of the retry allowance of all gateways.
 *
 * @param settings - options of one gateway, and the allowance of all
 * @param store - records of registered gateways
 * @param gateways - the gateways
 * @param clock - source of the monotonic time
 * @returns the budgets
 */
export function createRetryBudgets(
    settings: GatewaySettings,
    store: RecordStore,
    gateways: GatewayList,
    clock: Clock,
): RetryBudgets {
    const { gateway } = settings;
    const budgets = new Map<string, RetryBudget>();
    // Before the registered gateways are known, the number of seeds serves as an estimate.
    const divide = (): RetryOptions =>
        divideRetryAllowance(settings.retry, gateway, Math.max(gateways.count(), gateway.seeds.length));
    let options = divide();
    store.onChange(topic => {
        if (topic === "instances") {
            options = divide();
        }
    });
    return {
        find: service => {
            const budget = budgets.get(service) ?? createRetryBudget(clock.monotonic(), options);
            budgets.set(service, budget);
            return budget;
        },
        readOptions: () => options,
    };
}
