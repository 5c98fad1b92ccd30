import { setTimeout as delay } from "node:timers/promises";
import {
    type BudgetOptions,
    computeTransferRate,
    refillBucket,
    resolveBudgetOptions,
    takeFromBucket,
    type TokenBucket,
} from "../../../runtime/distribution/budget.js";
import type { Clock } from "../../../types/index.js";
import type { LinkBudget, TransferDirection } from "./types.js";

/** Dependencies and options of {@link createLinkBudget}. */
export interface LinkBudgetInput extends Partial<BudgetOptions> {
    /** Speed of the link in each direction. */
    readonly bytesPerSecond: number;
    readonly clock: Clock;
    /** Counts the live requests in progress. Default: always 0. */
    readonly requestsInProgress?: (() => number) | undefined;
}

/** Seconds of transfers that may be requested in advance; more than a round trip, so that the link stays busy. */
const requestAheadSeconds = 2;

/** Token bucket of one direction, and the promise of the last waiter; waiters are served in order. */
interface DirectionBudget {
    readonly bucket: TokenBucket;
    tail: Promise<unknown>;
}

/**
 * Creates a byte budget for each direction of the instance's link. Transfers get less while live requests are in
 * progress.
 *
 * @param input - speed of the link, clock and shares
 * @returns the budget
 */
export function createLinkBudget(input: LinkBudgetInput): LinkBudget {
    const { clock } = input;
    const options = resolveBudgetOptions(input);
    const createDirectionBudget = (): DirectionBudget => ({
        bucket: { bytes: 0, refilledAt: clock.monotonic() },
        tail: Promise.resolve(),
    });
    const budgets: Record<TransferDirection, DirectionBudget> = {
        incoming: createDirectionBudget(),
        outgoing: createDirectionBudget(),
    };
    const readRate = () => computeTransferRate(options, input.requestsInProgress?.() ?? 0);

    async function takeInTurn(
        budget: DirectionBudget,
        bytes: number,
        signal: AbortSignal | undefined,
    ): Promise<boolean> {
        while (signal?.aborted !== true) {
            const rate = readRate();
            refillBucket(budget.bucket, rate, options.burst, clock.monotonic());
            const wait = takeFromBucket(budget.bucket, bytes, rate);
            if (wait === 0) {
                return true;
            }
            await delay(wait, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
        }
        return false;
    }

    return {
        take: (direction, bytes, signal) => {
            const budget = budgets[direction];
            const taken = budget.tail.then(() => takeInTurn(budget, bytes, signal));
            budget.tail = taken;
            return taken;
        },
        available: () => readRate() * requestAheadSeconds,
    };
}

/**
 * Creates a budget without a limit.
 *
 * @returns the budget
 */
export function createUnlimitedBudget(): LinkBudget {
    return {
        take: (...[, , signal]) => Promise.resolve(signal?.aborted !== true),
        available: () => Infinity,
    };
}
