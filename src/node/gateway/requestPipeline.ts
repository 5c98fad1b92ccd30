import { createAnswerSilenceTable } from "../../runtime/gateway/index.js";
import {
    creditRequest,
    decideRetry,
    type RetryBudget,
    type RetryDecision,
    type RetryOptions,
} from "../../runtime/retry/index.js";
import type { RoutingOptions } from "../../runtime/routing/index.js";
import type { CallerProtocol, Clock, Milliseconds, Refusal, RefusalReason } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import { createAnswerRelay } from "./answers/answerRelay.js";
import { createStreamWriter } from "./answers/callerAnswer.js";
import { createFinalAnswers, describeUnavailable, unavailableRetryAfterSeconds } from "./answers/finalAnswer.js";
import { createAttemptRace, type EndedAttempt } from "./attempts/attemptRace.js";
import { createAttemptRunner } from "./attempts/attemptRunner.js";
import type { BackendClients } from "./attempts/backendClients.js";
import { createHedging } from "./attempts/hedging.js";
import { allowsAttempt, minimumRemainingTime, mustComplete, type RequestProgress } from "./attempts/requestProgress.js";
import { reachedServer } from "./attempts/startedAttempt.js";
import { type CrashEvidenceReader, createCrashRefusals, describeCondemned } from "./crashes/crashRefusals.js";
import type { CrashWatch } from "./crashes/crashWatch.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { RateLimits } from "./membership/rateLimits.js";
import type { ServerNotices } from "./membership/serverNotices.js";
import type { SlowStarts } from "./membership/slowStarts.js";
import type { RequestLog } from "./requestLog.js";
import type { AdmissionOutcome, AdmissionQueues } from "./selection/admissionQueues.js";
import type { Eligibility } from "./selection/eligibility.js";
import type { RegionLimits } from "./selection/regionLimits.js";
import type { RemainingWork } from "./selection/remainingWork.js";
import type { ServerSelection, ServerSelector } from "./selection/serverSelector.js";
import type { AbortReason, AttemptFailure, GatewayRequest } from "./types.js";

/** Dependencies of {@link createRequestPipeline}. */
export interface RequestPipelineInput {
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly choice: ServerSelector;
    readonly regions: RegionLimits;
    readonly eligibility: Eligibility;
    readonly queues: AdmissionQueues;
    readonly work: RemainingWork;
    readonly clients: BackendClients;
    readonly crashes: CrashWatch;
    readonly notices: Pick<ServerNotices, "recordHead">;
    readonly rateLimits: Pick<RateLimits, "recordHead" | "recordSend">;
    readonly slowStarts: Pick<SlowStarts, "recordHead" | "recordLoss" | "recordSend">;
    readonly crashEvidence: CrashEvidenceReader;
    /** Finds the retry budget of a service. */
    readonly findBudget: (service: string) => RetryBudget;
    /** Reads the retry options, which depend on the number of gateways. */
    readonly readRetry: () => RetryOptions;
    readonly routing: RoutingOptions;
    /** Shortest time without a byte after which an idempotent request is also sent to another backend server. */
    readonly switchAfter: Milliseconds;
    readonly log: RequestLog;
    readonly metrics: GatewayMetrics;
}

/** Time before the end of a request at which it gets the answer that it has, although other attempts are in flight. */
const answerMargin: Milliseconds = 100;

const serverError: Refusal = {
    ran: "unknown",
    reason: "backend-server-error",
    retryAfterSeconds: unavailableRetryAfterSeconds,
};

/** Reason of the failure of an attempt that ended because its request had. */
const endReasons: Readonly<Record<AbortReason, RefusalReason>> = {
    "caller-gone": "canceled",
    "caller-timeout": "deadline-passed",
    "memory-limit": "canceled",
    "route-timeout": "deadline-passed",
    shutdown: "draining",
};

/** Tells a failed attempt of which the backend server is the cause from one that ended with its request. */
function describeEnd(request: GatewayRequest, failure: AttemptFailure): AttemptFailure {
    const endedBy = request.readAbortReason();
    if (endedBy === undefined || failure.connectionBroke || failure.answer !== undefined) {
        return failure;
    }
    return { ...failure, reason: endReasons[endedBy], serverAtFault: false, endedBy };
}

/**
 * Creates the function that serves allowed requests.
 *
 * @param input - decisions, connections and logs
 * @returns function that resolves once the caller has the final answer
 */
export function createRequestPipeline(input: RequestPipelineInput): (request: GatewayRequest) => Promise<void> {
    const { choice: selector, clock, crashEvidence, log, metrics, queues, readRetry, work } = input;
    const relay = createAnswerRelay({ clock, log, metrics });
    const crashRefusals = createCrashRefusals(crashEvidence, input.crashes);
    const silences = createAnswerSilenceTable();
    const runner = createAttemptRunner({ ...input, relay, silences });
    const hedging = createHedging({ ...input, crashRefusals, runner, silences });
    const finalAnswers = createFinalAnswers(log, metrics);

    function decide(
        request: GatewayRequest,
        progress: RequestProgress,
        failure: AttemptFailure,
        budget: RetryBudget,
    ): RetryDecision {
        const now = clock.monotonic();
        return decideRetry({
            request: request.row,
            refusal: { ran: failure.ran, reason: failure.reason, retryAfterSeconds: unavailableRetryAfterSeconds },
            backendServerCrashed: false,
            reachedServer: reachedServer(failure),
            attempts: allowsAttempt(request, progress, now) ? progress.sent : Infinity,
            answerBegun: mustComplete(request, progress),
            isOver: request.signal.aborted,
            mayHaveRun: progress.mayHaveRun,
            standing: crashEvidence.readStanding(request.row),
            mayRepeat: crashEvidence.mayRepeat(request.row),
            budget,
            now,
            options: { ...readRetry(), maximumAttempts: request.route.maximumAttempts },
        });
    }

    /**
     * Selects a backend server. If only cold ones are left, whose next share of this gateway begins soon, the request
     * waits for it.
     */
    async function select(request: GatewayRequest, progress: RequestProgress): Promise<ServerSelection> {
        const latest = progress.attempts === 0 ? request.latestStart : request.endsAt - minimumRemainingTime;
        for (;;) {
            const selection = selector.select(
                request.service,
                progress.excluded,
                input.regions.find(request),
                work.estimate(request),
            );
            const { decision } = selection;
            if (decision.kind !== "none" || decision.reason !== "slow-start" || request.signal.aborted) {
                return selection;
            }
            const wait = Math.max(1, decision.retryAfterSeconds * 1_000);
            if (clock.monotonic() + wait > latest) {
                return selection;
            }
            await sleep(wait, request.signal);
        }
    }

    /** Starts an attempt while none is in flight; returns the reason if none can be started. */
    async function startNext(request: GatewayRequest, progress: RequestProgress): Promise<Refusal | undefined> {
        const crashRefusal = crashRefusals.find(request, progress);
        if (crashRefusal !== undefined) {
            log.refusal(request, crashRefusal);
            if (progress.attempts === 0) {
                metrics.countRefusal(request, crashRefusal.reason);
            }
            return crashRefusal;
        }
        const selection = await select(request, progress);
        log.routing(request, selection, progress.attempts + 1);
        if (selection.decision.kind === "none" || selection.server === undefined) {
            const ran = progress.mayHaveRun ? "unknown" : "no";
            return describeUnavailable(request, selection, ran);
        }
        hedging.start(request, progress, selection);
        return undefined;
    }

    /** Waits until an attempt has ended; undefined if it is time to send the answer of one that has. */
    async function awaitEnd(
        request: GatewayRequest,
        { answer, race }: RequestProgress,
    ): Promise<EndedAttempt | undefined> {
        if (answer === undefined) {
            return race.awaitEnd();
        }
        const ended = new AbortController();
        const left = request.endsAt - clock.monotonic() - answerMargin;
        try {
            return await Promise.race([race.awaitEnd(), sleep(left, ended.signal).then(() => undefined)]);
        }
        finally {
            ended.abort();
        }
    }

    async function runAttempts(request: GatewayRequest, progress: RequestProgress): Promise<Refusal | undefined> {
        const { race } = progress;
        const budget = input.findBudget(request.service.name);
        for (;;) {
            const refused = race.listInFlight().length === 0 ? await startNext(request, progress) : undefined;
            if (refused !== undefined) {
                return refused;
            }
            const ended = await awaitEnd(request, progress);
            if (ended === undefined) {
                return serverError;
            }
            const { attempt, outcome } = ended;
            if (outcome.isOk) {
                return undefined;
            }
            const failure = describeEnd(request, outcome.error);
            const { instance } = attempt.server.listed;
            progress.mayHaveRun ||= failure.ran === "unknown";
            progress.answer = failure.answer ?? progress.answer;
            if (failure.endedBy === undefined) {
                progress.brokenAttempt = { peer: instance, failure: failure.reason, detail: failure.detail };
            }
            if (race.listInFlight().length > 0) {
                const reason = "another attempt is in flight";
                log.retry(request, failure, { kind: "wait", reason }, instance, budget.available);
                hedging.replace(request, progress);
                continue;
            }
            const decision = decide(request, progress, failure, budget);
            log.retry(request, failure, decision, instance, budget.available);
            if (decision.kind === "give-up") {
                return decision.refusal;
            }
            metrics.countRetry(request);
        }
    }

    async function serveAdmitted(request: GatewayRequest): Promise<void> {
        await using race = createAttemptRace(request.signal);
        const progress: RequestProgress = {
            race,
            excluded: new Set(),
            sent: 0,
            attempts: 0,
            mayHaveRun: false,
            brokenAttempt: undefined,
            answer: undefined,
            lastEvent: undefined,
            mediaType: undefined,
            resumable: true,
            writer: createStreamWriter(request.response, request.held),
        };
        const final = await runAttempts(request, progress);
        if (final === undefined) {
            metrics.countOutcome(request, "answered");
        }
        else {
            finalAnswers.fail(request, progress, final);
        }
    }

    /** Waits for a place; refuses the request as soon as no backend server may get it. */
    async function admit(request: GatewayRequest): Promise<AdmissionOutcome> {
        const ineligible = input.eligibility.findRefusal(request);
        if (ineligible !== undefined) {
            return { kind: "refused", refusal: ineligible };
        }
        using wait = input.eligibility.watch(request);
        const waiting = { ...request.row, deadline: request.latestStart, receivedAt: request.completeAt };
        const outcome = await queues.admit(request.service, waiting, wait, input.regions.find(request));
        const refusal = wait.readRefusal();
        return outcome.kind === "refused" && refusal !== undefined ? { kind: "refused", refusal } : outcome;
    }

    return async request => {
        if (crashEvidence.readStanding(request.row) === "condemned") {
            finalAnswers.refuse(request, describeCondemned("no"));
            return;
        }
        creditRequest(input.findBudget(request.service.name), clock.monotonic(), readRetry());
        const admitted = await admit(request);
        if (admitted.kind === "refused") {
            finalAnswers.refuse(request, admitted.refusal);
            return;
        }
        metrics.recordWait(request, admitted.waited);
        const release = selector.trackRequest(request.service);
        try {
            await serveAdmitted(request);
        }
        finally {
            release();
            admitted.finish();
        }
    };
}
