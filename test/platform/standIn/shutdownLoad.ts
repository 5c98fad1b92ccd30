import type { RandomSource } from "../../../src/types/index.js";
import { sleep } from "../../../src/utils/index.js";
import { type CallResult, type Channel, openChannel } from "./channel.js";
import type { GatewayProcess } from "./gatewayProcess.js";
import { between, pick } from "./seededChoice.js";
import type { WorkRunner } from "./workRunner.js";

/** Kind of caller. */
export type CallerKind = "ordinary" | "slow-answer" | "slow-stream" | "silent-stream" | "slow-body";

/** Call that has ended, with the gateway that took it. */
export interface FinishedCall {
    readonly kind: CallerKind;
    readonly attemptId: string;
    readonly path: string;
    readonly gateway: GatewayProcess;
    /** Monotonic time in milliseconds at which the call began. */
    readonly startedAt: number;
    readonly result: CallResult;
}

interface Plan {
    readonly path: string;
    readonly bytesPerSecond?: number;
    readonly body?: string;
    readonly bodyPause?: number;
}

const plans: Readonly<Record<CallerKind, (random: RandomSource) => Plan>> = {
    ordinary: random => {
        const work = between(random, 20, 2_000);
        return {
            path: pick(random, [
                `/safe/?work=${work}&bytes=2000`,
                `/unsafe/?work=${work}&bytes=2000`,
                `/stream/?events=20&interval=${Math.round(work / 20)}`,
            ]),
        };
    },
    "slow-answer": random => ({
        path: `/unsafe/?bytes=${between(random, 6_000_000, 9_000_000)}`,
        bytesPerSecond: 2_200_000,
    }),
    "slow-stream": random => ({
        path: `/stream/?events=${between(random, 30, 50)}&eventBytes=150000&interval=20`,
        bytesPerSecond: 1_700_000,
    }),
    "silent-stream": random => ({
        path: `/stream/?events=20&interval=40&silentAfter=10&silence=${between(random, 1_600, 2_600)}`,
    }),
    "slow-body": random => ({
        path: "/unsafe/?work=100&bytes=2000",
        body: "b".repeat(20_000),
        bodyPause: between(random, 300, 2_500),
    }),
};

const deadline = 7_000;
/** Highest number of requests on one channel. */
const requestsPerChannel = 8;

/** Options of {@link callUntil}. */
export interface LoadOptions {
    readonly kind: CallerKind;
    readonly name: string;
    readonly random: RandomSource;
    /** Lists the gateways that get new channels. */
    readonly listGateways: () => readonly GatewayProcess[];
    readonly isOver: () => boolean;
}

/**
 * Sends requests one after the other on channels that are kept open.
 *
 * @param options - kind of caller and gateways
 * @returns the calls, whatever their results
 */
export async function callUntil(
    { isOver, kind, listGateways, name, random }: LoadOptions,
): Promise<readonly FinishedCall[]> {
    const calls: FinishedCall[] = [];
    let channel: Channel | undefined;
    let gateway: GatewayProcess | undefined;
    let left = 0;
    while (!isOver()) {
        if (channel?.isOpen() !== true || left === 0) {
            channel?.[Symbol.dispose]();
            gateway = pick(random, listGateways());
            channel = await openChannel(gateway);
            left = between(random, 1, requestsPerChannel);
            if (channel === undefined) {
                await sleep(100);
                continue;
            }
        }
        left--;
        const attemptId = `${name}-${calls.length}`;
        const startedAt = performance.now();
        const plan = plans[kind](random);
        const result = await channel.call({ ...plan, attemptId, deadline });
        calls.push({ kind, attemptId, path: plan.path, gateway: gateway!, startedAt, result });
        await sleep(between(random, 0, 100));
    }
    channel?.[Symbol.dispose]();
    return calls;
}

/** Result of a call for the caller: `lost` if a runner worked on it and its channel ended without a whole answer. */
export type Verdict = "whole" | "refused" | "failed" | "late" | "outlasted" | "not-run" | "lost";

/** Time after SIGTERM for which a gateway may take requests that outlast its drain. */
const laterRequestMilliseconds = 3_000;

/**
 * Judges a call.
 *
 * @param call - the call
 * @param runners - all runners
 * @param drainTimeLimit - milliseconds after SIGTERM within which a gateway must end
 * @returns what became of the call; `outlasted` if its runner was at work in the last sixth of the drain time limit
 */
export function judge(
    { attemptId, gateway, result, startedAt }: FinishedCall,
    runners: readonly WorkRunner[],
    drainTimeLimit: number,
): Verdict {
    if (result.ending === "late") {
        return "late";
    }
    if (result.ending === "whole") {
        return result.status === 200 ? "whole" : result.status === 503 ? "refused" : "failed";
    }
    const work = runners.flatMap(runner => runner.work).filter(each => each.attemptId === attemptId);
    if (work.length === 0) {
        return "not-run";
    }
    const stoppedAt = gateway.stoppedAt() ?? Infinity;
    const isAtWork = work.every(({ answeredAt }) => answeredAt === undefined);
    const isPastLimit = startedAt + result.milliseconds > stoppedAt + drainTimeLimit * 5 / 6;
    return isAtWork && isPastLimit && startedAt <= stoppedAt + laterRequestMilliseconds ? "outlasted" : "lost";
}
