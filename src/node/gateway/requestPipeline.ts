import { err, type Result } from "true-myth/result";
import {
    creditRequest,
    decideRetry,
    type RetryBudget,
    type RetryDecision,
    type RetryOptions,
} from "../../runtime/retry/index.js";
import { recordOutcome, type RoutingOptions } from "../../runtime/routing/index.js";
import type { CallerProtocol, Clock, Milliseconds, RanState, Refusal } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import type { AdmissionQueues } from "./admissionQueues.js";
import { createAnswerRelay, type RelayProgress } from "./answerRelay.js";
import { openAttempt } from "./attempt.js";
import type { BackendClients } from "./backendClients.js";
import { createStreamWriter, type GatewayStatus, sendAnswer, sendGatewayAnswer } from "./callerAnswer.js";
import type { CrashEvidenceStore } from "./crashEvidenceStore.js";
import type { CrashWatch, TrackedAttempt } from "./crashWatch.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { RateLimits } from "./rateLimits.js";
import type { RequestLog } from "./requestLog.js";
import type { ServerNotices } from "./serverNotices.js";
import type { ServerSelection, ServerSelector } from "./serverSelector.js";
import { reachedServer, startAttempt } from "./startedAttempt.js";
import type { AbortReason, AttemptFailure, GatewayRequest } from "./types.js";

/** Dependencies of {@link createRequestPipeline}. */
export interface RequestPipelineInput {
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly choice: ServerSelector;
    readonly queues: AdmissionQueues;
    readonly clients: BackendClients;
    readonly crashes: CrashWatch;
    readonly notices: Pick<ServerNotices, "recordHead">;
    readonly rateLimits: Pick<RateLimits, "recordHead" | "recordSend">;
    /** Evidence about requests that crash backend servers. */
    readonly crashEvidence: Pick<
        CrashEvidenceStore,
        "hasRivalParts" | "listSuspectParts" | "mayRepeat" | "readStanding"
    >;
    /** Finds the retry budget of a service. */
    readonly findBudget: (service: string) => RetryBudget;
    /** Reads the retry options, which depend on the number of gateways. */
    readonly readRetry: () => RetryOptions;
    readonly routing: RoutingOptions;
    /** Time without a byte after which an idempotent request is retried at another backend server. */
    readonly switchAfter: Milliseconds;
    readonly log: RequestLog;
    readonly metrics: GatewayMetrics;
}

/** Progress of a request over all attempts. */
interface Progress extends RelayProgress {
    readonly excluded: Set<string>;
    /** Attempts whose request was written to a backend server. */
    sent: number;
    /** Attempts, including those that were never written. */
    attempts: number;
    /** True if an attempt may have run. */
    mayHaveRun: boolean;
}

/** Final answer to a request that no backend server has answered. */
interface FinalFailure {
    readonly refusal: Refusal;
    readonly failure: AttemptFailure | undefined;
}

/**
 * Maximum attempts per request, including those whose request was never written; connections to dead servers fail
 * within a millisecond.
 */
const maximumTotalAttempts = 4;

/** Remaining time below which a request is not retried. */
const minimumRemainingTime: Milliseconds = 20;

/** Retry time in seconds for callers while another request shows whether a part of the prompt crashes backend servers. */
const suspectRetryAfterSeconds = 0.5;

/** Retry time in seconds for callers when no backend server can answer at the moment. */
const unavailableRetryAfterSeconds = 1;

/** Tells whether the answer has begun and no other backend server can continue it. */
function mustComplete({ route }: GatewayRequest, { resumable, writer }: Progress): boolean {
    return writer.headSent() && !(route.resumable && resumable);
}

/** A paused backend server gets no further requests, so its refusal does not count as an attempt of the request. */
function countsAsAttempt(failure: AttemptFailure): boolean {
    return reachedServer(failure) && failure.reason !== "turned-away";
}

/** The caller is not asked to retry, since the request would crash the next backend server too. */
function describeCondemned(ran: RanState): Refusal {
    return { ran, reason: "crashes-backend-servers", retryAfterSeconds: 0 };
}

/** A part of the prompt may have crashed a backend server, and other requests show whether it has. */
function describeSuspect(ran: RanState): Refusal {
    return { ran, reason: "may-crash-backend-servers", retryAfterSeconds: suspectRetryAfterSeconds };
}

/** Retry times are spread, so that the callers do not all return as soon as a backend server accepts requests again. */
function describeUnavailable({ row }: GatewayRequest, { decision }: ServerSelection, ran: RanState): Refusal {
    const reason = decision.kind === "none" ? decision.reason : "no-runner";
    if (decision.kind === "none" && (reason === "turned-away" || reason === "rate-limited")) {
        const spread = scoreRendezvous(row.requestId, "turned-away") / 2 ** 32;
        const retryAfterSeconds = Number((decision.retryAfterSeconds + spread).toFixed(3));
        return { ran, reason, retryAfterSeconds };
    }
    return { ran, reason, retryAfterSeconds: unavailableRetryAfterSeconds };
}

/** Status 503 tells the caller that the request may be retried. */
function chooseStatus({ ran, reason }: Refusal, abortReason: AbortReason | undefined): GatewayStatus {
    if (ran === "no" && reason !== "crashes-backend-servers") {
        return 503;
    }
    return abortReason === "route-timeout" ? 504 : 502;
}

/**
 * Creates the function that serves allowed requests.
 *
 * @param input - decisions, connections and logs
 * @returns function that resolves once the caller has the final answer
 */
export function createRequestPipeline(input: RequestPipelineInput): (request: GatewayRequest) => Promise<void> {
    const { choice: selector, clock, queues, crashEvidence, log, metrics, notices, protocol, rateLimits, readRetry } =
        input;
    const relay = createAnswerRelay({ clock, log, metrics });

    /** Tells whether the time and the maximum number of attempts allow another one. */
    function allowsAttempt({ endsAt, signal }: GatewayRequest, { attempts }: Progress): boolean {
        return attempts < maximumTotalAttempts && endsAt - clock.monotonic() > minimumRemainingTime && !signal.aborted;
    }

    /** Tells whether an idempotent request would find another backend server and the retry budget for it. */
    function canSwitch(request: GatewayRequest, progress: Progress, instance: string): boolean {
        const { row, service } = request;
        const { excluded } = progress;
        return allowsAttempt(request, progress) && !mustComplete(request, progress) &&
            selector.select(service, new Set([...excluded, instance])).server !== undefined &&
            input.findBudget(service.name).available >= 1 &&
            crashEvidence.readStanding(row) !== "condemned" &&
            crashEvidence.mayRepeat(row);
    }

    async function runAttempt(
        request: GatewayRequest,
        progress: Progress,
        selection: ServerSelection,
        attempt: TrackedAttempt,
    ): Promise<Result<void, AttemptFailure>> {
        const server = selection.server!;
        const { runner } = server;
        const now = clock.monotonic();
        const remaining = request.endsAt - now;
        const repeatable = request.row.idempotent && progress.sent + 1 < request.route.maximumAttempts;
        // Only a retry is a reason to end a silent attempt; without one, the deadline of the request does.
        const silentAfter = repeatable && input.switchAfter < remaining ? input.switchAfter : Infinity;
        progress.attempts++;
        const release = selector.trackRequest(request.service, server);
        rateLimits.recordSend(server);
        const started = startAttempt(server, clock);
        try {
            const opened = await openAttempt({ protocol, clock, notices, rateLimits }, {
                request,
                server,
                client: input.clients.find(server.listed),
                forwarded: {
                    instance: runner.instance,
                    remaining,
                    clientAccount: request.account?.name,
                    resumeAfter: progress.lastEvent ?? request.call.resumeAfter,
                    version: selection.version,
                },
                limits: { silentAfter, canSwitch: () => repeatable && canSwitch(request, progress, runner.instance) },
                headTimeout: Math.max(minimumRemainingTime, (selection.headDeadline ?? Infinity) - now),
                signal: request.signal,
            });
            started.recordHead(opened);
            const outcome = opened.isOk ?
                await relay.relayAnswer(request, progress, opened.value, attempt) :
                err<void, AttemptFailure>(opened.error);
            progress.sent += outcome.isOk || countsAsAttempt(outcome.error) ? 1 : 0;
            return outcome;
        }
        finally {
            started[Symbol.dispose]();
            release();
        }
    }

    function recordAttemptOutcome(
        selection: ServerSelection,
        outcome: Result<void, AttemptFailure>,
        canceled: boolean,
    ): void {
        const { runner } = selection.server!;
        if (outcome.isErr && outcome.error.reason === "not-serving") {
            // Another backend server uses the address now, or the weights have changed. A report or the list resets it.
            runner.phase = "waiting";
        }
        const failed = outcome.isErr && outcome.error.serverAtFault && !canceled;
        const neutral = outcome.isErr && !failed;
        recordOutcome(runner, failed ? "failed" : neutral ? "neutral" : "succeeded", clock.monotonic(), input.routing);
    }

    function decide(
        request: GatewayRequest,
        progress: Progress,
        failure: AttemptFailure,
        budget: RetryBudget,
    ): RetryDecision {
        return decideRetry({
            request: request.row,
            refusal: { ran: failure.ran, reason: failure.reason, retryAfterSeconds: unavailableRetryAfterSeconds },
            backendServerCrashed: false,
            reachedServer: reachedServer(failure),
            attempts: allowsAttempt(request, progress) ? progress.sent : Infinity,
            answerBegun: mustComplete(request, progress),
            mayHaveRun: progress.mayHaveRun,
            standing: crashEvidence.readStanding(request.row),
            mayRepeat: crashEvidence.mayRepeat(request.row),
            budget,
            now: clock.monotonic(),
            options: { ...readRetry(), maximumAttempts: request.route.maximumAttempts },
        });
    }

    function findCrashRefusal({ row }: GatewayRequest, { mayHaveRun, writer }: Progress): Refusal | undefined {
        const ran = mayHaveRun ? "unknown" : "no";
        if (crashEvidence.readStanding(row) === "condemned") {
            return describeCondemned(ran);
        }
        // An event has shown that no part of the prompt crashes backend servers.
        const isSuspect = !writer.headSent() && (crashEvidence.hasRivalParts(row) ||
            input.crashes.isAwaitingAnswer(crashEvidence.listSuspectParts(row)));
        return isSuspect ? describeSuspect(ran) : undefined;
    }

    async function runAttempts(request: GatewayRequest, progress: Progress): Promise<FinalFailure | undefined> {
        for (;;) {
            const crashRefusal = findCrashRefusal(request, progress);
            if (crashRefusal !== undefined) {
                log.refusal(request, crashRefusal);
                if (progress.attempts === 0) {
                    metrics.countRefusal(request, crashRefusal.reason);
                }
                return { refusal: crashRefusal, failure: undefined };
            }
            const selection = selector.select(request.service, progress.excluded);
            log.routing(request, selection, progress.attempts + 1);
            if (selection.decision.kind === "none" || selection.server === undefined) {
                const ran = progress.mayHaveRun ? "unknown" : "no";
                return { refusal: describeUnavailable(request, selection, ran), failure: undefined };
            }
            const attempt = input.crashes.trackAttempt(selection.server.listed, request.row);
            const outcome = await runAttempt(request, progress, selection, attempt);
            recordAttemptOutcome(selection, outcome, request.readAbortReason() !== undefined);
            await attempt.finish(outcome.isErr && outcome.error.connectionBroke);
            if (outcome.isOk) {
                return undefined;
            }
            progress.excluded.add(selection.server.listed.instance);
            progress.mayHaveRun ||= outcome.error.ran === "unknown";
            const budget = input.findBudget(request.service.name);
            const decision = decide(request, progress, outcome.error, budget);
            log.retry(request, outcome.error, decision, selection.server.listed.instance, budget.available);
            if (decision.kind === "give-up") {
                return { refusal: decision.refusal, failure: outcome.error };
            }
            metrics.countRetry(request);
        }
    }

    function finish(request: GatewayRequest, progress: Progress, final: FinalFailure): void {
        const { failure, refusal } = final;
        const reason = request.readAbortReason();
        if (reason === "caller-gone" || progress.writer.headSent()) {
            metrics.countOutcome(request, reason === "caller-gone" ? "canceled" : "broken-off");
            progress.writer.abort();
            return;
        }
        if (failure?.answer !== undefined) {
            metrics.countOutcome(request, "server-error");
            sendAnswer(request.response, failure.answer);
            return;
        }
        metrics.countOutcome(request, refusal.ran === "no" ? "refused" : "failed");
        sendGatewayAnswer(request.response, chooseStatus(refusal, reason), refusal);
    }

    function refuse(request: GatewayRequest, refusal: Refusal): void {
        log.refusal(request, refusal);
        if (request.readAbortReason() === "caller-gone") {
            metrics.countOutcome(request, "canceled");
            request.response.destroy();
            return;
        }
        metrics.countOutcome(request, "refused");
        metrics.countRefusal(request, refusal.reason);
        sendGatewayAnswer(request.response, chooseStatus(refusal, undefined), refusal);
    }

    return async request => {
        if (crashEvidence.readStanding(request.row) === "condemned") {
            refuse(request, describeCondemned("no"));
            return;
        }
        creditRequest(input.findBudget(request.service.name), clock.monotonic(), readRetry());
        const waiting = { ...request.row, deadline: request.latestStart };
        const admitted = await queues.admit(request.service, waiting, request.signal);
        if (admitted.kind === "refused") {
            refuse(request, admitted.refusal);
            return;
        }
        metrics.recordWait(request, admitted.waited);
        const progress: Progress = {
            excluded: new Set(),
            sent: 0,
            attempts: 0,
            mayHaveRun: false,
            lastEvent: undefined,
            mediaType: undefined,
            resumable: true,
            writer: createStreamWriter(request.response),
        };
        try {
            const final = await runAttempts(request, progress);
            if (final === undefined) {
                metrics.countOutcome(request, "answered");
            }
            else {
                finish(request, progress, final);
            }
        }
        finally {
            queues.finish(request.service, request.row.requestId);
        }
    };
}
