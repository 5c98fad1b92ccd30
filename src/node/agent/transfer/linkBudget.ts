import { setTimeout as delay } from "node:timers/promises";
import {
    type BudgetOptions,
    readTransferRate,
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
    /** Default: 0 at any time. */
    readonly requestsInProgress?: (() => number) | undefined;
}

/** Seconds of transfers that may be requested ahead; it keeps the link busy for longer than a round trip. */
const requestAheadSeconds = 2;

/** Waiters of one direction, served in order. */
interface Lane {
    readonly bucket: TokenBucket;
    tail: Promise<unknown>;
}

/**
 * Creates a byte budget for both directions of the instance's link. Transfers get less while live requests are in
 * progress.
 *
 * @param input - speed of the link, clock and shares
 * @returns the budget
 */
export function createLinkBudget(input: LinkBudgetInput): LinkBudget {
    const { clock } = input;
    const options = resolveBudgetOptions(input);
    const createLane = (): Lane => ({
        bucket: { bytes: 0, refilledAt: clock.monotonic() },
        tail: Promise.resolve(),
    });
    const lanes: Record<TransferDirection, Lane> = { incoming: createLane(), outgoing: createLane() };
    const readRate = () => readTransferRate(options, input.requestsInProgress?.() ?? 0);

    async function takeInTurn(lane: Lane, bytes: number, signal: AbortSignal | undefined): Promise<boolean> {
        while (signal?.aborted !== true) {
            const rate = readRate();
            refillBucket(lane.bucket, rate, options.burst, clock.monotonic());
            const wait = takeFromBucket(lane.bucket, bytes, rate);
            if (wait === 0) {
                return true;
            }
            await delay(wait, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
        }
        return false;
    }

    return {
        take: (direction, bytes, signal) => {
            const lane = lanes[direction];
            const taken = lane.tail.then(() => takeInTurn(lane, bytes, signal));
            lane.tail = taken;
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
