import { build } from "hdr-histogram-js";
import {
    type CostedRequest,
    createRemainingWork,
    type RemainingWork,
} from "../../src/node/gateway/selection/remainingWork.js";
import {
    applyLoadReport,
    createRunnerRow,
    resolveRoutingOptions,
    type RoutingOptions,
    type RunnerLoadReport,
    type RunnerRow,
    selectRunner,
} from "../../src/runtime/routing/index.js";
import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import { createManualClock, createSeededRandom } from "../../src/utils/index.js";
import { type BatchEngine, batchSlots, batchTiming, createBatchEngine } from "./batchEngine.js";

const gatewayCount = 100;
const engineCount = 36;
const zones = ["zone-a", "zone-b", "zone-c"];
const tick: Milliseconds = 1;
const warmUp: Milliseconds = 10_000;
const measured: Milliseconds = 30_000;
const drain: Milliseconds = 6_000;
const target: Milliseconds = 402;
const maximumAttempts = 3;
const sizes = { promptTokens: 900, outputTokens: 100, spread: 0.95, maximumFactor: 4 };

/** Mix of requests, servers and reports. */
export interface HeavyTailCase {
    /** Offered load as a share of the capacity. */
    readonly load: number;
    /** Spread of the ratio of the length of an answer to the length that its caller states; undefined if none is. */
    readonly hintSpread: number | undefined;
    /** Factors on the times of the engines, assigned in turn. */
    readonly slowness: readonly number[];
    /** True if slow engines state that they are not. */
    readonly misreports?: boolean | undefined;
    readonly reportInterval: Milliseconds;
    readonly reportDelay: Milliseconds;
}

const usualCase: HeavyTailCase = {
    load: 0.8,
    hintSpread: 0.5,
    slowness: [1],
    reportInterval: 250,
    reportDelay: 20,
};
const unequal = [1, 1, 1, 1.4, 1, 2];

/** Cases of the benchmark, by name. */
export const heavyTailCases: Readonly<Record<string, HeavyTailCase>> = {
    "heavy tail at 0.6": { ...usualCase, load: 0.6 },
    "heavy tail at 0.8": usualCase,
    "heavy tail at 0.95": { ...usualCase, load: 0.95 },
    "heavy tail at 1.2": { ...usualCase, load: 1.2 },
    "wrong estimates": { ...usualCase, hintSpread: 1.6 },
    "no estimates": { ...usualCase, hintSpread: undefined },
    "unequal speed": { ...usualCase, slowness: unequal },
    "unequal speed, misreported": { ...usualCase, slowness: unequal, misreports: true },
    "stale reports": { ...usualCase, reportInterval: 1_000, reportDelay: 1_500 },
    "stale reports, unequal speed": { ...usualCase, slowness: unequal, reportInterval: 1_000, reportDelay: 1_500 },
};

const platformOptions = resolveRoutingOptions({
    comparedCandidates: 6,
    waitingWeight: 5,
    reportExpiry: 600_000,
    failuresUntilEjected: 2,
    ejectionDuration: 1_000,
});

/** Options of the compared policies, by name. */
export const heavyTailPolicies: Readonly<Record<string, RoutingOptions>> = {
    "by load": platformOptions,
    "by cost": { ...platformOptions, costAware: true },
};

/** Result of one policy in one case. Shares are of all requests. */
export interface HeavyTailResult {
    readonly name: string;
    readonly policy: string;
    readonly requests: number;
    readonly inTargetShare: number;
    readonly refusedShare: number;
    readonly firstEventP50: Milliseconds;
    readonly firstEventP99: Milliseconds;
    readonly endP99: Milliseconds;
    /** Share within the target of the largest tenth by tokens, relative to all requests. */
    readonly largestTenth: number;
}

interface MeasuredRequest {
    readonly arrivedAt: Milliseconds;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly stated: number | undefined;
    firstEvent: Milliseconds | undefined;
    end: Milliseconds | undefined;
    refused: boolean;
}

interface SimulatedGateway {
    readonly zone: string;
    readonly servers: readonly { readonly runner: RunnerRow; }[];
    readonly work: RemainingWork;
}

function sampleNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

function sampleSize(mean: number, random: RandomSource): number {
    const { maximumFactor, spread } = sizes;
    const size = Math.exp(Math.log(mean) - spread ** 2 / 2 + spread * sampleNormal(random));
    return Math.max(1, Math.round(Math.min(maximumFactor * mean, size)));
}

/**
 * Computes the throughput of all engines with full slots.
 *
 * @param slowness - factors on the times of the engines
 * @returns requests per second
 */
function computeCapacity(slowness: readonly number[]): number {
    const step = batchTiming.stepTime + batchSlots *
            (batchTiming.stepTimePerRequest + batchTiming.stepTimePerThousandTokens * sizes.promptTokens / 1_000);
    const perRequest = sizes.promptTokens * 1_000 / batchTiming.promptTokensPerSecond +
        sizes.outputTokens * step / batchSlots;
    const speed = slowness.reduce((sum, factor) => sum + 1 / factor, 0) / slowness.length;
    return engineCount * speed * 1_000 / perRequest;
}

/**
 * Simulates a policy in virtual time.
 *
 * @param name - name of the case
 * @param testedCase - the case
 * @param policy - name of the policy
 * @param options - its options
 * @param seed - seed of arrivals, sizes and choices
 * @returns what callers saw after the warm-up
 */
export function simulateHeavyTail(
    name: string,
    testedCase: HeavyTailCase,
    policy: string,
    options: RoutingOptions,
    seed: number,
): HeavyTailResult {
    const { hintSpread, load, reportDelay, reportInterval, slowness } = testedCase;
    const clock = createManualClock();
    const random = createSeededRandom(seed);
    const choiceRandom = createSeededRandom(seed + 1);
    const speedRandom = createSeededRandom(seed + 2);
    const requests: MeasuredRequest[] = [];
    const reports: { readonly at: Milliseconds; readonly index: number; readonly report: RunnerLoadReport; }[] = [];
    const engines: BatchEngine[] = [...Array(engineCount).keys()].map(index =>
        createBatchEngine(`i-${index}`, zones[index % zones.length]!, slowness[index % slowness.length]!)
    );
    const gateways: SimulatedGateway[] = [...Array(gatewayCount).keys()].map(index => ({
        zone: zones[index % zones.length]!,
        servers: engines.map(({ instance, zone }) => ({
            runner: createRunnerRow("engraver", { instance, zone, region: zone }),
        })),
        work: createRemainingWork({
            clock,
            costAware: options.costAware,
            metrics: { recordFirstEvent: () => {} },
        }),
    }));
    const engine = { slots: batchSlots, timing: batchTiming };

    function readStatedSlowdown(index: number): number {
        const stated = testedCase.misreports === true ? 1 : engines[index]!.slowness;
        return stated * Math.exp(0.2 * sampleNormal(speedRandom));
    }

    function send(row: MeasuredRequest, gateway: SimulatedGateway, excluded: ReadonlySet<string>): void {
        const now = clock.monotonic();
        const { outputTokens, promptTokens } = row;
        const request = {
            call: {
                promptTokens,
                maximumOutputTokens: sizes.maximumFactor * sizes.outputTokens,
                expectedOutputTokens: row.stated,
            },
            route: { name: "engrave", kind: "streaming" },
            service: { name: "engraver", engine },
        } as unknown as CostedRequest;
        const cost = gateway.work.estimate(request);
        const decision = selectRunner({
            subset: { deployment: "engraver", runners: gateway.servers.map(({ runner }) => runner) },
            zone: gateway.zone,
            region: gateway.zone,
            manifestDigest: "digest",
            prefix: undefined,
            excluded,
            now,
            random: choiceRandom,
            options,
            cost,
        });
        if (decision.kind === "none") {
            row.refused = true;
            return;
        }
        const { expected, runner } = decision;
        const index = gateway.servers.findIndex(server => server.runner === runner);
        const server = gateway.servers[index]!;
        runner.outstanding++;
        runner.awaitingFirst++;
        const tracked = gateway.work.begin(server, request, { cost, expected, continues: false });
        let begun = false;
        const accepted = engines[index]!.offer({
            promptTokens,
            outputTokens,
            onEvent: at => {
                if (!begun) {
                    begun = true;
                    row.firstEvent = at - row.arrivedAt;
                    runner.awaitingFirst--;
                    gateway.work.recordSlowdown(server, request.service, readStatedSlowdown(index));
                }
                tracked.recordEvent();
            },
            onEnd: at => {
                row.end = at - row.arrivedAt;
                runner.outstanding--;
                tracked.end(true);
            },
        }, now);
        if (!accepted) {
            runner.outstanding--;
            runner.awaitingFirst--;
            tracked.end(false);
            if (excluded.size + 1 < maximumAttempts) {
                send(row, gateway, new Set([...excluded, runner.instance]));
            }
            else {
                row.refused = true;
            }
        }
    }

    function exchangeReports(now: Milliseconds): void {
        for (const [index, row] of engines.entries()) {
            // Engines do not report at the same time.
            if ((now + index * 7) % reportInterval === 0 || now === 0) {
                reports.push({ at: now === 0 ? 0 : now + reportDelay, index, report: row.report() });
            }
        }
        while (reports[0] !== undefined && reports[0].at <= now) {
            const { index, report } = reports.shift()!;
            for (const { servers } of gateways) {
                applyLoadReport(servers[index]!.runner, { ...report, age: now === 0 ? 0 : reportDelay }, now);
            }
        }
    }

    const arrivalRate = computeCapacity(slowness) * load / 1_000;
    let nextArrival = 0;
    for (let now = 0; now < warmUp + measured + drain; now += tick) {
        exchangeReports(now);
        engines.forEach(row => row.advance(now));
        while (nextArrival <= now && now < warmUp + measured) {
            nextArrival += -Math.log(1 - random.next()) / arrivalRate;
            const outputTokens = sampleSize(sizes.outputTokens, random);
            const error = Math.exp((hintSpread ?? 0) * sampleNormal(random));
            const row: MeasuredRequest = {
                arrivedAt: now,
                promptTokens: sampleSize(sizes.promptTokens, random),
                outputTokens,
                stated: hintSpread === undefined ? undefined : Math.max(1, Math.round(outputTokens * error)),
                firstEvent: undefined,
                end: undefined,
                refused: false,
            };
            requests.push(row);
            send(row, gateways[Math.floor(random.next() * gatewayCount)]!, new Set());
        }
        clock.advance(tick);
    }
    return summarize(name, policy, requests.filter(({ arrivedAt }) => arrivedAt >= warmUp));
}

function computeInTargetShare(requests: readonly MeasuredRequest[]): number {
    return requests.filter(({ firstEvent = Infinity }) => firstEvent <= target).length / requests.length;
}

function summarize(name: string, policy: string, requests: readonly MeasuredRequest[]): HeavyTailResult {
    const firstEvents = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000 });
    const ends = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000 });
    for (const { arrivedAt, end, firstEvent, refused } of requests) {
        if (!refused) {
            // What has not begun at the end counts with the time that it has waited.
            const limit = warmUp + measured + drain - arrivedAt;
            firstEvents.recordValue(Math.max(1, Math.round(firstEvent ?? limit)));
            ends.recordValue(Math.max(1, Math.round(end ?? limit)));
        }
    }
    const byTokens = [...requests].sort((left, right) =>
        right.promptTokens + right.outputTokens - left.promptTokens - left.outputTokens
    );
    const inTargetShare = computeInTargetShare(requests);
    return {
        name,
        policy,
        requests: requests.length,
        inTargetShare,
        refusedShare: requests.filter(({ refused }) => refused).length / requests.length,
        firstEventP50: firstEvents.getValueAtPercentile(50),
        firstEventP99: firstEvents.getValueAtPercentile(99),
        endP99: ends.getValueAtPercentile(99),
        largestTenth: computeInTargetShare(byTokens.slice(0, Math.ceil(byTokens.length / 10))) /
            Math.max(inTargetShare, Number.EPSILON),
    };
}
