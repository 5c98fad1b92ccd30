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
import { createFakeServer, type FakeServer, type ServerEvents, size, timing } from "./server.js";

/** Sizes of today: about 10 runners, 3 entry instances, 10 client accounts, 3 of them large. */
const runners = 10;
const zones = ["dfw-hall-a", "hou-hall-b", "sat-hall-c"];
const accountWeights = [30, 20, 15, 5, 5, 5, 5, 5, 5, 5];
const prefixesPerAccount = 30;
const slowServer = 4;
const slowness = 3;
const tick = 5;
const reportInterval = 100;
const reportDelay = 1_000;
const deadline = 2_000;
const warmUp = 10_000;
const measured = 60_000;

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

/** Requests a second that the servers finish when half of the prefixes are cached. */
export function computeCapacity(): number {
    const serviceTime = (timing.coldPrefill + timing.warmPrefill) / 2 + timing.token * timing.tokens;
    return (runners - 1 + 1 / slowness) * size.batch * 1_000 / serviceTime;
}

function pickWeighted(weights: readonly number[], random: RandomSource): number {
    let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex(weight => (remaining -= weight) < 0));
}

function createEntry(index: number, createPolicy: () => Policy): EntryState {
    const candidates = [...Array(runners).keys()].map(number => {
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
 * Runs one policy against servers, one of which is slow, with load reports that arrive 1 s late.
 *
 * @param name - name of the policy
 * @param createPolicy - creates the policy of one entry instance
 * @param load - offered load as a share of the capacity
 * @param seed - seed of arrivals, accounts, prefixes and choices
 * @returns latency, cache hits and refusals after a warm-up
 */
export function simulate(name: string, createPolicy: () => Policy, load: number, seed: number): SimulationResult {
    const clock = createManualClock();
    const random = createSeededRandom(seed);
    const choices = createSeededRandom(seed + 1);
    const retryOptions = resolveRetryOptions();
    const entries = [...zones.keys()].map(index => createEntry(index, createPolicy));
    const attempts = new Map<string, Attempt>();
    const times = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000 });
    const counts = { requests: 0, answered: 0, hits: 0, refused: 0 };
    const reports: { readonly arrivesAt: Milliseconds; readonly index: number; readonly report: RunnerLoadReport; }[] =
        [];
    const reported = new Map<string, number>();
    let sequence = 0;

    const events: ServerEvents = {
        firstToken: (request, at, cached) => {
            if (request.receivedAt >= warmUp) {
                counts.answered += 1;
                counts.hits += cached ? 1 : 0;
                times.recordValue(Math.max(1, Math.round(at - request.receivedAt)));
            }
        },
        finished: request => release(request.requestId),
        refused: (request, refusal) => retry(request, refusal),
    };
    const servers: FakeServer[] = [...Array(runners).keys()].map(index =>
        createFakeServer(`runner-${index}`, index === slowServer ? slowness : 1, events)
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
        const runner = entry.policy({ subset, reported, zone, prefix, excluded, now, random: choices });
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
        counts.refused += request.receivedAt >= warmUp ? 1 : 0;
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
        // Few prefixes of an account are frequent: the square of a uniform number favours the first.
        const prefix = Math.floor(random.next() ** 2 * prefixesPerAccount);
        return {
            requestId: `request-${sequence}`,
            deployment: "llm",
            clientAccount: `account-${account}`,
            priority: 5,
            deadline: now + deadline,
            receivedAt: now,
            idempotent: true,
            idempotencyKey: undefined,
            fingerprint: `fingerprint-${sequence}`,
            prefix: `${account}/${prefix}`,
        };
    }

    function exchangeReports(now: Milliseconds): void {
        if (now % reportInterval === 0) {
            servers.forEach((server, index) =>
                reports.push({ arrivesAt: now + reportDelay, index, report: server.report() })
            );
        }
        while (reports[0] !== undefined && reports[0].arrivesAt <= now) {
            const { index, report } = reports.shift()!;
            reported.set(`runner-${index}`, report.running + report.queued);
            for (const { subset } of entries) {
                applyLoadReport(subset.runners[index]!, { ...report, age: reportDelay }, now);
            }
        }
    }

    const arrivalShare = computeCapacity() * load * tick / 1_000;
    for (let now = 0; now < warmUp + measured; now += tick) {
        exchangeReports(now);
        servers.forEach(server => server.advance(now));
        // Requests begin once the first reports have arrived.
        for (let due = arrivalShare; now > reportDelay && due > 0; due--) {
            if (random.next() < due) {
                const entry = entries[Math.floor(random.next() * entries.length)]!;
                const request = createRequest(now);
                counts.requests += now >= warmUp ? 1 : 0;
                creditRequest(entry.budget, now, retryOptions);
                send(request, { entry, attempts: 1, excluded: new Set(), runner: undefined });
            }
        }
        clock.advance(tick);
    }
    return {
        policy: name,
        load,
        requests: counts.requests,
        timeToFirstTokenP50: times.getValueAtPercentile(50),
        timeToFirstTokenP95: times.getValueAtPercentile(95),
        prefixHitShare: counts.hits / counts.answered,
        refusedShare: counts.refused / counts.requests,
    };
}
