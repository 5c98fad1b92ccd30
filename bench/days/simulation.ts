import { build, type Histogram } from "hdr-histogram-js";
import {
    type DequeuedRequests,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
    setCapacity,
} from "../../src/runtime/admission/index.js";
import {
    computeArrivalRate,
    computePlaceShare,
    estimatePriorWait,
    recordArrival,
} from "../../src/runtime/gateway/index.js";
import { creditRequest, decideRetry, resolveRetryOptions } from "../../src/runtime/retry/index.js";
import { applyLoadReport, recordOutcome, type RunnerLoadReport } from "../../src/runtime/routing/index.js";
import type { Milliseconds, Refusal, RequestRow } from "../../src/types/index.js";
import { createSeededRandom } from "../../src/utils/index.js";
import { createCaller } from "./callers.js";
import { createEngine, type Engine } from "./engine.js";
import { type Attempt, createGateways, describeRequest, type Gateway } from "./gateways.js";
import {
    callerTimeout,
    computeCapacity,
    drawInterval,
    enginesPerZone,
    maximumCallerTries,
    maximumWaitShare,
    ordinaryClasses,
    reportDelay,
    reportInterval,
    sampleExponential,
    tick,
    zones,
} from "./parameters.js";
import { type Policy, routingOptions } from "./policies.js";
import { type Scenario, scenarioDuration } from "./scenarios.js";
import { type Caller, type ScenarioResult, summarizeScenario } from "./summary.js";

/**
 * Simulates one scenario under one policy in virtual time.
 *
 * @param day - name of the scenario
 * @param scenario - load and disturbances
 * @param policyName - name of the policy
 * @param createPolicy - creates the policy of one gateway
 * @param seed - seed of the arrivals, request sizes and random choices
 * @returns latency, answers, refusals and retries as the callers saw them
 */
export function simulateScenario(
    day: string,
    scenario: Scenario,
    policyName: string,
    createPolicy: () => Policy,
    seed: number,
): ScenarioResult {
    const arrivalRandom = createSeededRandom(seed);
    const choiceRandom = createSeededRandom(seed + 1);
    const drawRandom = createSeededRandom(seed + 2);
    const classes = scenario.classes ?? ordinaryClasses;
    const retryOptions = resolveRetryOptions({ budgetShare: 0.1, budgetPerSecond: 0.5, budgetMaximum: 10 });
    const admissionOptions = resolveAdmissionOptions({
        maximumInProgress: 1_000,
        retryAfterStepSeconds: 0.05,
        maximumRetryAfterSeconds: 2,
    });
    const attempts = new Map<string, Attempt>();
    const callers: Caller[] = [];
    const callerRetries: { readonly at: Milliseconds; readonly caller: Caller; readonly gateway: Gateway; }[] = [];
    const reports: { readonly at: Milliseconds; readonly instance: string; readonly report: RunnerLoadReport; }[] = [];
    const firstTokens: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 100_000 });
    const counts = { refused: 0, resent: 0, returned: 0 };
    let now: Milliseconds = 0;
    let nextArrival = 0;
    let rolloutDuration: Milliseconds | undefined;

    const engines: Engine[] = zones.flatMap(zone =>
        [...Array(enginesPerZone).keys()].map(index =>
            createEngine(`${zone}-${index}`, zone, {
                firstToken: (requestId, at) => recordFirstToken(requestId, at),
                token: requestId => attempts.get(requestId)?.work?.recordEvent(),
                finished: requestId => release(requestId, "succeeded"),
                broken: requestId => fail(requestId, "connection-lost", "unknown"),
            })
        )
    );
    const gateways = createGateways(engines, createPolicy, admissionOptions, retryOptions, () => now);

    function recordFirstToken(requestId: string, at: Milliseconds): void {
        const attempt = attempts.get(requestId);
        if (attempt === undefined || attempt.begun) {
            return;
        }
        attempt.begun = true;
        if (attempt.runner !== undefined) {
            attempt.runner.awaitingFirst--;
        }
        const { caller } = attempt;
        caller.metTarget = at - caller.begunAt <= caller.requestClass.target;
        caller.answered = at - caller.begunAt <= callerTimeout;
        firstTokens.recordValue(Math.max(1, Math.round(at - caller.begunAt)));
    }

    function detach(attempt: Attempt, outcome: "succeeded" | "failed" | "neutral"): void {
        const { runner } = attempt;
        if (runner === undefined) {
            return;
        }
        runner.outstanding--;
        runner.awaitingFirst -= attempt.begun ? 0 : 1;
        attempt.runner = undefined;
        attempt.work?.end(outcome === "succeeded");
        attempt.work = undefined;
        recordOutcome(runner, outcome, now, routingOptions);
    }

    function release(requestId: string, outcome: "succeeded" | "failed" | "neutral"): void {
        const attempt = attempts.get(requestId);
        if (attempt === undefined) {
            return;
        }
        attempts.delete(requestId);
        detach(attempt, outcome);
        if (attempt.gateway.policy.queuesRequests) {
            handleDequeued(attempt.gateway, finishRequest(attempt.gateway.admissionTable, requestId, now));
        }
    }

    function fail(requestId: string, reason: Refusal["reason"], ran: Refusal["ran"]): void {
        const attempt = attempts.get(requestId);
        if (attempt === undefined) {
            return;
        }
        if (attempt.runner !== undefined) {
            attempt.excluded.add(attempt.runner.instance);
        }
        detach(attempt, reason === "queue-full" ? "neutral" : "failed");
        attempt.attemptCount++;
        const decision = decideRetry({
            request: attempt.request,
            refusal: { ran, reason, retryAfterSeconds: 0.2 },
            backendServerCrashed: false,
            attempts: attempt.attemptCount,
            // The users' sites resume streams, so a retry is allowed after the answer has begun.
            answerBegun: false,
            mayHaveRun: ran === "unknown",
            standing: "clear",
            budget: attempt.gateway.budget,
            now,
            options: retryOptions,
        });
        if (decision.kind === "retry") {
            counts.resent++;
            send(attempt);
            return;
        }
        release(requestId, "neutral");
        if (ran === "no") {
            refuse(attempt.caller, attempt.gateway, decision.refusal.retryAfterSeconds);
        }
    }

    function refuse(caller: Caller, gateway: Gateway, retryAfterSeconds: number): void {
        counts.refused++;
        caller.refusals++;
        const remainingTime = caller.begunAt + callerTimeout - now;
        const wait = Math.min(retryAfterSeconds * 1_000, remainingTime / 3);
        if (caller.tries < maximumCallerTries && remainingTime > wait + 50) {
            counts.returned++;
            callerRetries.push({ at: now + wait, caller, gateway });
        }
    }

    function send(attempt: Attempt): void {
        const { caller, excluded, gateway, request } = attempt;
        const described = describeRequest(caller);
        const cost = gateway.work.estimate(described);
        const choice = gateway.policy.choose({
            cost,
            runners: gateway.runners,
            zone: gateway.zone,
            excluded,
            now,
            random: choiceRandom,
        });
        if (choice === undefined) {
            release(request.requestId, "neutral");
            refuse(caller, gateway, 1);
            return;
        }
        const { expected, runner } = choice;
        runner.outstanding++;
        runner.awaitingFirst += attempt.begun ? 0 : 1;
        attempt.runner = runner;
        attempt.work = gateway.work.begin({ runner }, described, { cost, expected, continues: false });
        const engine = engines.find(({ instance }) => instance === runner.instance)!;
        const { answerTokens, promptTokens } = caller;
        if (!engine.offer({ requestId: request.requestId, promptTokens, answerTokens })) {
            fail(request.requestId, "queue-full", "no");
        }
    }

    function handleDequeued(gateway: Gateway, dequeued: DequeuedRequests): void {
        for (const { requestId } of dequeued.start) {
            send(attempts.get(requestId)!);
        }
        for (const { refusal, request } of dequeued.refuse) {
            const { caller } = attempts.get(request.requestId)!;
            attempts.delete(request.requestId);
            caller.refusedLate ||= now - request.receivedAt > caller.requestClass.target / 8;
            refuse(caller, gateway, refusal.retryAfterSeconds);
        }
    }

    function updateCapacity(gateway: Gateway): void {
        const serving = gateway.runners.filter(({ ejectedUntil, phase }) => phase === "serving" && ejectedUntil <= now);
        const { places } = computePlaceShare({
            runners: serving.map(runner => ({ runner, isFollowed: true })),
            gateways: gateways.length,
            demand: {
                arrivalRate: computeArrivalRate(gateway.arrivals, now),
                serviceTime: gateway.admissionTable.averageServiceTime,
            },
            draw: gateway.draw,
            now,
            options: { queuedPerServer: 0, loadHalfLife: routingOptions.loadHalfLife },
        });
        handleDequeued(gateway, setCapacity(gateway.admissionTable, places, now));
        handleDequeued(gateway, expireRequests(gateway.admissionTable, now));
    }

    function receiveRequest(caller: Caller, gateway: Gateway): void {
        caller.tries++;
        const { requestClass } = caller;
        const remainingTime = caller.begunAt + callerTimeout - now;
        const missedTarget = estimatePriorWait(gateway.callerTimeouts, requestClass.name, remainingTime) >
            requestClass.target;
        const request: RequestRow = {
            requestId: `${caller.id}-${caller.tries}`,
            deployment: "model",
            clientAccount: caller.account,
            priority: requestClass.priority,
            deadline: gateway.policy.queuesRequests ?
                now + requestClass.target * maximumWaitShare :
                caller.begunAt + callerTimeout,
            receivedAt: now,
            idempotent: true,
            idempotencyKey: undefined,
            fingerprint: "",
            prefix: undefined,
            endsAt: caller.begunAt + callerTimeout,
            hasReturned: caller.tries > 1,
            missedTarget: gateway.policy.deprioritizesLate && missedTarget,
        };
        const attempt: Attempt = {
            caller,
            gateway,
            request,
            excluded: new Set(),
            attemptCount: 0,
            runner: undefined,
            work: undefined,
            begun: false,
        };
        attempts.set(request.requestId, attempt);
        creditRequest(gateway.budget, now, retryOptions);
        if (!gateway.policy.queuesRequests) {
            send(attempt);
            return;
        }
        recordArrival(gateway.arrivals, now);
        updateCapacity(gateway);
        const decision = offerRequest(gateway.admissionTable, request, now);
        if (decision.kind === "start") {
            send(attempt);
        }
        else if (decision.kind === "refuse") {
            attempts.delete(request.requestId);
            refuse(caller, gateway, decision.refusal.retryAfterSeconds);
        }
    }

    function generateArrivals(): void {
        const arrivalsPerMillisecond = computeCapacity(classes) * scenario.load(now) / 1_000;
        while (nextArrival <= now) {
            const caller = createCaller(callers.length, scenario, classes, arrivalRandom, now);
            callers.push(caller);
            receiveRequest(caller, gateways[Math.floor(arrivalRandom.next() * gateways.length)]!);
            nextArrival += sampleExponential(1 / arrivalsPerMillisecond, arrivalRandom);
        }
    }

    function deliverReports(): void {
        if (now % reportInterval === 0) {
            reports.push(
                ...engines.map(engine => ({
                    at: now + reportDelay,
                    instance: engine.instance,
                    report: engine.report(),
                })),
            );
        }
        while (reports[0] !== undefined && reports[0].at <= now) {
            const { at, instance, report } = reports.shift()!;
            for (const { runners } of gateways) {
                applyLoadReport(
                    runners.find(row => row.instance === instance)!,
                    { ...report, age: now - at + reportDelay },
                    now,
                );
            }
        }
    }

    for (now = 0; now <= scenarioDuration + callerTimeout; now += tick) {
        for (const gateway of now % drawInterval === 0 ? gateways : []) {
            gateway.draw = drawRandom.next();
        }
        scenario.updateEngines({ engines, random: choiceRandom }, now);
        deliverReports();
        engines.forEach(engine => engine.advance(now, tick));
        for (const due of callerRetries.filter(({ at }) => at <= now)) {
            callerRetries.splice(callerRetries.indexOf(due), 1);
            receiveRequest(due.caller, due.gateway);
        }
        if (now <= scenarioDuration) {
            generateArrivals();
        }
        gateways.filter(({ policy }) => policy.queuesRequests).forEach(updateCapacity);
        const { wanted } = scenario;
        if (
            wanted !== undefined && now > wanted.declaredAt && engines.every(({ version }) => version >= wanted.version)
        ) {
            rolloutDuration ??= now - wanted.declaredAt;
        }
    }

    return summarizeScenario({
        day,
        policy: policyName,
        seconds: scenarioDuration / 1_000,
        callers,
        ...counts,
        firstTokenP95: firstTokens.getValueAtPercentile(95),
        firstTokenP99: firstTokens.getValueAtPercentile(99),
        timeToReplicas: rolloutDuration,
    });
}
