import { build } from "hdr-histogram-js";
import { createRetryBudget, creditRequest, decideRetry, resolveRetryOptions } from "../../src/runtime/retry/index.js";
import {
    applyLoadReport,
    createRunnerRow,
    type RunnerLoadReport,
    type RunnerRow,
    type RunnerSubset,
} from "../../src/runtime/routing/index.js";
import type { Milliseconds, RandomSource, Refusal, RequestRow } from "../../src/types/index.js";
import { createManualClock, createSeededRandom } from "../../src/utils/index.js";
import type { Policy } from "./policies.js";
import { createSimulatedServer, limits, type ServerEvents, type SimulatedServer, timings } from "./server.js";

/** Sizes of a current installation: about 10 runners, 3 entry instances, 10 client accounts, 3 of them large. */
const runnerCount = 10;
const zones = ["dfw-hall-a", "hou-hall-b", "sat-hall-c"];
const accountWeights = [30, 20, 15, 5, 5, 5, 5, 5, 5, 5];
const prefixesPerAccount = 30;
const slowServerIndex = 4;
const slowServerFactor = 3;
const tickMilliseconds = 5;
const reportIntervalMilliseconds = 100;
const reportDelayMilliseconds = 1_000;
const requestTimeoutMilliseconds = 2_000;
const warmUpMilliseconds = 10_000;
const measuredMilliseconds = 60_000;

/** Result of one policy at one load. */
export interface SimulationResult {
    readonly policy: string;
    /** Offered load as a share of the capacity. */
    readonly load: number;
    readonly requests: number;
    readonly timeToFirstTokenP50: Milliseconds;
    readonly timeToFirstTokenP95: Milliseconds;
    readonly prefixHitShare: number;
    readonly refusedShare: number;
}

interface EntryState {
    readonly zone: string;
    readonly subset: RunnerSubset;
    readonly policy: Policy;
    readonly budget: ReturnType<typeof createRetryBudget>;
}

interface Attempt {
    readonly entry: EntryState;
    readonly attempts: number;
    readonly excluded: ReadonlySet<string>;
    runner: RunnerRow | undefined;
}

/**
 * Computes the throughput of all servers if half of the prefixes are cached.
 *
 * @returns requests per second
 */
export function computeCapacity(): number {
    const serviceTime = (timings.coldPrefill + timings.warmPrefill) / 2 + timings.token * timings.tokens;
    return (runnerCount - 1 + 1 / slowServerFactor) * limits.batch * 1_000 / serviceTime;
}

function pickWeighted(weights: readonly number[], random: RandomSource): number {
    let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex(weight => (remaining -= weight) < 0));
}

function createEntry(index: number, createPolicy: () => Policy): EntryState {
    const candidates = [...Array(runnerCount).keys()].map(number => {
        const zone = zones[number % zones.length]!;
        return { instance: `runner-${number}`, zone, region: zone };
    });
    return {
        zone: zones[index]!,
        subset: { deployment: "llm", runners: candidates.map(candidate => createRunnerRow("llm", candidate)) },
        policy: createPolicy(),
        budget: createRetryBudget(0, resolveRetryOptions()),
    };
}

/**
 * Simulates one policy with servers of which one is slow, and with load reports that arrive 1 s late.
 *
 * @param name - name of the policy
 * @param createPolicy - creates the policy of one entry instance
 * @param load - offered load as a share of the capacity
 * @param seed - seed of arrivals, accounts, prefixes and choices
 * @returns latency, cache hits and refusals of the requests after the warm-up
 */
export function simulate(name: string, createPolicy: () => Policy, load: number, seed: number): SimulationResult {
    const clock = createManualClock();
    const random = createSeededRandom(seed);
    const choiceRandom = createSeededRandom(seed + 1);
    const retryOptions = resolveRetryOptions();
    const entries = [...zones.keys()].map(index => createEntry(index, createPolicy));
    const attempts = new Map<string, Attempt>();
    const firstTokenTimes = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000 });
    const counts = { requests: 0, answered: 0, hits: 0, refused: 0 };
    const delayedReports: {
        readonly arrivesAt: Milliseconds;
        readonly index: number;
        readonly report: RunnerLoadReport;
    }[] = [];
    const reported = new Map<string, number>();
    let sequence = 0;

    const events: ServerEvents = {
        firstToken: (request, at, cached) => {
            if (request.receivedAt >= warmUpMilliseconds) {
                counts.answered += 1;
                counts.hits += cached ? 1 : 0;
                firstTokenTimes.recordValue(Math.max(1, Math.round(at - request.receivedAt)));
            }
        },
        finished: request => release(request.requestId),
        refused: (request, refusal) => retry(request, refusal),
    };
    const servers: SimulatedServer[] = [...Array(runnerCount).keys()].map(index =>
        createSimulatedServer(`runner-${index}`, index === slowServerIndex ? slowServerFactor : 1, events)
    );

    function release(requestId: string): Attempt {
        const attempt = attempts.get(requestId)!;
        attempts.delete(requestId);
        if (attempt.runner !== undefined) {
            attempt.runner.outstanding -= 1;
        }
        return attempt;
    }

    function send(request: RequestRow, attempt: Attempt): void {
        const { entry, excluded } = attempt;
        const prefix = request.prefix!;
        const now = clock.monotonic();
        const { subset, zone } = entry;
        const runner = entry.policy({ subset, reported, zone, prefix, excluded, now, random: choiceRandom });
        if (runner === undefined) {
            countRefusal(request);
            return;
        }
        runner.outstanding += 1;
        attempt.runner = runner;
        attempts.set(request.requestId, attempt);
        servers[entry.subset.runners.indexOf(runner)]!.offer(request, now);
    }

    function countRefusal(request: RequestRow): void {
        counts.refused += request.receivedAt >= warmUpMilliseconds ? 1 : 0;
    }

    function retry(request: RequestRow, refusal: Refusal): void {
        const attempt = release(request.requestId);
        const decision = decideRetry({
            request,
            refusal,
            backendServerCrashed: false,
            attempts: attempt.attempts,
            answerBegun: false,
            standing: "clear",
            budget: attempt.entry.budget,
            now: clock.monotonic(),
            options: retryOptions,
        });
        if (decision.kind === "give-up") {
            countRefusal(request);
            return;
        }
        const excluded = new Set([...attempt.excluded, attempt.runner!.instance]);
        send(request, { entry: attempt.entry, attempts: attempt.attempts + 1, excluded, runner: undefined });
    }

    function createRequest(now: Milliseconds): RequestRow {
        sequence += 1;
        const account = pickWeighted(accountWeights, random);
        // Squaring a uniform random number makes the prefixes with low numbers more frequent than the others.
        const prefix = Math.floor(random.next() ** 2 * prefixesPerAccount);
        return {
            requestId: `request-${sequence}`,
            deployment: "llm",
            clientAccount: `account-${account}`,
            priority: 5,
            deadline: now + requestTimeoutMilliseconds,
            receivedAt: now,
            idempotent: true,
            idempotencyKey: undefined,
            fingerprint: `fingerprint-${sequence}`,
            prefix: `${account}/${prefix}`,
        };
    }

    function exchangeReports(now: Milliseconds): void {
        if (now % reportIntervalMilliseconds === 0) {
            servers.forEach((server, index) =>
                delayedReports.push({ arrivesAt: now + reportDelayMilliseconds, index, report: server.report() })
            );
        }
        while (delayedReports[0] !== undefined && delayedReports[0].arrivesAt <= now) {
            const { index, report } = delayedReports.shift()!;
            reported.set(`runner-${index}`, report.running + report.queued);
            for (const { subset } of entries) {
                applyLoadReport(subset.runners[index]!, { ...report, age: reportDelayMilliseconds }, now);
            }
        }
    }

    const arrivalsPerTick = computeCapacity() * load * tickMilliseconds / 1_000;
    for (let now = 0; now < warmUpMilliseconds + measuredMilliseconds; now += tickMilliseconds) {
        exchangeReports(now);
        servers.forEach(server => server.advance(now));
        // No requests are sent before the first reports have arrived.
        for (
            let remainingArrivals = arrivalsPerTick;
            now > reportDelayMilliseconds && remainingArrivals > 0;
            remainingArrivals--
        ) {
            if (random.next() < remainingArrivals) {
                const entry = entries[Math.floor(random.next() * entries.length)]!;
                const request = createRequest(now);
                counts.requests += now >= warmUpMilliseconds ? 1 : 0;
                creditRequest(entry.budget, now, retryOptions);
                send(request, { entry, attempts: 1, excluded: new Set(), runner: undefined });
            }
        }
        clock.advance(tickMilliseconds);
    }
    return {
        policy: name,
        load,
        requests: counts.requests,
        timeToFirstTokenP50: firstTokenTimes.getValueAtPercentile(50),
        timeToFirstTokenP95: firstTokenTimes.getValueAtPercentile(95),
        prefixHitShare: counts.hits / counts.answered,
        refusedShare: counts.refused / counts.requests,
    };
}
