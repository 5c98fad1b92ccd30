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
import type { AdmissionGates } from "./admissionGates.js";
import { createAnswerRelay, type RelayProgress } from "./answerRelay.js";
import { openAttempt } from "./attempt.js";
import type { BackendClients } from "./backendClients.js";
import { createStreamWriter, type OwnStatus, sendAnswer, sendOwnAnswer } from "./callerAnswer.js";
import type { CrashKnowledge } from "./crashKnowledge.js";
import type { CrashWatch, FollowedAttempt } from "./crashWatch.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { RequestLog } from "./requestLog.js";
import type { ServerChoice, ServerSelection } from "./serverChoice.js";
import type { ServerNotices } from "./serverNotices.js";
import type { AbortReason, AttemptFailure, GatewayRequest } from "./types.js";

/** Dependencies of {@link createRequestPipeline}. */
export interface RequestPipelineInput {
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly choice: ServerChoice;
    readonly gates: AdmissionGates;
    readonly clients: BackendClients;
    readonly crashes: CrashWatch;
    readonly notices: Pick<ServerNotices, "recordHead">;
    /** Knows which requests crash backend servers. */
    readonly knowledge: Pick<CrashKnowledge, "mayRepeat" | "readStanding" | "recordAnswer">;
    /** Finds the retry budget of a service. */
    readonly findBudget: (service: string) => RetryBudget;
    /** Reads the retry options, which depend on the number of gateways. */
    readonly readRetry: () => RetryOptions;
    readonly routing: RoutingOptions;
    /** Time without a byte after which a request that may be repeated goes on elsewhere. */
    readonly switchAfter: Milliseconds;
    readonly log: RequestLog;
    readonly metrics: GatewayMetrics;
}

/** How far a request has come. */
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

/** Attempts at one request, including those that were never written; connections to dead servers fail within a millisecond. */
const maximumTries = 4;

/** Time left below which no further attempt is worthwhile. */
const minimumRemaining: Milliseconds = 20;

/** Seconds after which a caller returns when no backend server can answer at the moment. */
const unavailableRetryAfterSeconds = 1;

function reachedServer({ ran, reason }: AttemptFailure): boolean {
    return ran !== "no" || reason !== "connection-lost";
}

/** A backend server that wants no requests for a while is not asked again, so its refusal costs the request no attempt. */
function countsAsAttempt(failure: AttemptFailure): boolean {
    return reachedServer(failure) && failure.reason !== "turned-away";
}

/** The caller is not told to come back: the request would crash the next backend server too. */
function describeCondemned(ran: RanState): Refusal {
    return { ran, reason: "crashes-backend-servers", retryAfterSeconds: 0 };
}

/** Callers return at different times, else a backend server that takes requests again would meet them all at once. */
function describeUnavailable({ row }: GatewayRequest, { decision }: ServerSelection, ran: RanState): Refusal {
    const reason = decision.kind === "none" ? decision.reason : "no-runner";
    if (decision.kind === "none" && reason === "turned-away") {
        const spread = scoreRendezvous(row.requestId, "turned-away") / 2 ** 32;
        const retryAfterSeconds = Number((decision.retryAfterSeconds + spread).toFixed(3));
        return { ran, reason, retryAfterSeconds };
    }
    return { ran, reason, retryAfterSeconds: unavailableRetryAfterSeconds };
}

/** 503 invites the caller to send the request again. */
function chooseStatus({ ran, reason }: Refusal, abortReason: AbortReason | undefined): OwnStatus {
    if (ran === "no" && reason !== "crashes-backend-servers") {
        return 503;
    }
    return abortReason === "route-timeout" ? 504 : 502;
}

/**
 * Creates the function that carries out allowed requests.
 *
 * @param input - decisions, connections and logs
 * @returns function that resolves once the caller has the final answer
 */
export function createRequestPipeline(input: RequestPipelineInput): (request: GatewayRequest) => Promise<void> {
    const { choice, clock, gates, knowledge, log, metrics, notices, protocol, readRetry } = input;
    const relay = createAnswerRelay({ clock, log, metrics });

    /** Tells whether a request that may be repeated would find a backend server and the budget for it. */
    function canSwitch({ row, service }: GatewayRequest, { excluded }: Progress, instance: string): boolean {
        return choice.select(service, new Set([...excluded, instance])).server !== undefined &&
            input.findBudget(service.name).available >= 1 &&
            knowledge.readStanding(row.fingerprint) !== "condemned" &&
            knowledge.mayRepeat(row.fingerprint);
    }

    async function tryOnce(
        request: GatewayRequest,
        progress: Progress,
        selection: ServerSelection,
        attempt: FollowedAttempt,
    ): Promise<Result<void, AttemptFailure>> {
        const server = selection.server!;
        const { runner } = server;
        const now = clock.monotonic();
        const remaining = request.endsAt - now;
        const repeatable = request.row.idempotent && progress.sent + 1 < request.route.maximumAttempts;
        // The request's own time ends an attempt that no other one follows, so that the caller is told of it.
        const silentAfter = repeatable && input.switchAfter < remaining ? input.switchAfter : Infinity;
        const isTrial = runner.trial === "due";
        if (isTrial) {
            runner.trial = "running";
        }
        progress.attempts++;
        const release = choice.occupy(request.service, server);
        runner.awaitingFirst++;
        let awaiting = true;
        const begin = (): void => {
            runner.awaitingFirst -= awaiting ? 1 : 0;
            awaiting = false;
        };
        let trialEnded = !isTrial;
        const endTrial = (succeeded: boolean): void => {
            if (!trialEnded) {
                runner.trial = succeeded ? "none" : "due";
            }
            trialEnded = true;
        };
        try {
            const opened = await openAttempt({ protocol, clock, notices }, {
                request,
                server,
                client: input.clients.find(server.listed),
                forwarded: {
                    instance: runner.instance,
                    remaining,
                    clientAccount: request.account?.name,
                    resumeAfter: progress.lastEvent ?? request.call.resumeAfter,
                    version: undefined,
                },
                limits: { silentAfter, canSwitch: () => repeatable && canSwitch(request, progress, runner.instance) },
                beginWithin: Math.max(minimumRemaining, (selection.beginLimit ?? Infinity) - now),
                signal: request.signal,
            });
            begin();
            endTrial(opened.isOk);
            const passed = opened.isOk ?
                await relay.passOn(request, progress, opened.value, attempt) :
                err<void, AttemptFailure>(opened.error);
            progress.sent += passed.isOk || countsAsAttempt(passed.error) ? 1 : 0;
            return passed;
        }
        finally {
            begin();
            endTrial(false);
            release();
        }
    }

    function learn(selection: ServerSelection, passed: Result<void, AttemptFailure>, canceled: boolean): void {
        const { runner } = selection.server!;
        if (passed.isErr && passed.error.reason === "not-serving") {
            // It is another backend server by now, or holds other weights, until a report or the list says otherwise.
            runner.phase = "waiting";
        }
        const failed = passed.isErr && passed.error.serverAtFault && !canceled;
        const neutral = passed.isErr && !failed;
        recordOutcome(runner, failed ? "failed" : neutral ? "neutral" : "succeeded", clock.monotonic(), input.routing);
    }

    function decide(
        request: GatewayRequest,
        progress: Progress,
        failure: AttemptFailure,
        budget: RetryBudget,
    ): RetryDecision {
        const canRepeat = progress.attempts < maximumTries &&
            request.endsAt - clock.monotonic() > minimumRemaining && !request.signal.aborted;
        return decideRetry({
            request: request.row,
            refusal: { ran: failure.ran, reason: failure.reason, retryAfterSeconds: unavailableRetryAfterSeconds },
            backendServerCrashed: false,
            reachedServer: reachedServer(failure),
            attempts: canRepeat ? progress.sent : Infinity,
            answerBegun: progress.writer.headSent() && !request.route.resumable,
            mayHaveRun: progress.mayHaveRun,
            standing: knowledge.readStanding(request.row.fingerprint),
            mayRepeat: knowledge.mayRepeat(request.row.fingerprint),
            budget,
            now: clock.monotonic(),
            options: { ...readRetry(), maximumAttempts: request.route.maximumAttempts },
        });
    }

    async function runAttempts(request: GatewayRequest, progress: Progress): Promise<FinalFailure | undefined> {
        for (;;) {
            if (knowledge.readStanding(request.row.fingerprint) === "condemned") {
                return { refusal: describeCondemned(progress.mayHaveRun ? "unknown" : "no"), failure: undefined };
            }
            const selection = choice.select(request.service, progress.excluded);
            log.routing(request, selection, progress.attempts + 1);
            if (selection.decision.kind === "none" || selection.server === undefined) {
                const ran = progress.mayHaveRun ? "unknown" : "no";
                return { refusal: describeUnavailable(request, selection, ran), failure: undefined };
            }
            const attempt = input.crashes.follow(selection.server.listed, request.row.fingerprint);
            const passed = await tryOnce(request, progress, selection, attempt);
            learn(selection, passed, request.readAbortReason() !== undefined);
            await attempt.finish(passed.isErr && passed.error.connectionBroke);
            if (passed.isOk) {
                return undefined;
            }
            progress.excluded.add(selection.server.listed.instance);
            progress.mayHaveRun ||= passed.error.ran === "unknown";
            const budget = input.findBudget(request.service.name);
            const decision = decide(request, progress, passed.error, budget);
            log.retry(request, passed.error, decision, selection.server.listed.instance, budget.available);
            if (decision.kind === "give-up") {
                return { refusal: decision.refusal, failure: passed.error };
            }
            metrics.countRetry(request);
        }
    }

    function finish(request: GatewayRequest, progress: Progress, final: FinalFailure): void {
        const { failure, refusal } = final;
        const reason = request.readAbortReason();
        if (reason === "caller-gone" || progress.writer.headSent()) {
            metrics.countOutcome(request, reason === "caller-gone" ? "canceled" : "broken-off");
            progress.writer.breakOff();
            return;
        }
        if (failure?.answer !== undefined) {
            metrics.countOutcome(request, "server-error");
            sendAnswer(request.response, failure.answer);
            return;
        }
        metrics.countOutcome(request, refusal.ran === "no" ? "refused" : "failed");
        sendOwnAnswer(request.response, chooseStatus(refusal, reason), refusal);
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
        sendOwnAnswer(request.response, chooseStatus(refusal, undefined), refusal);
    }

    return async request => {
        if (knowledge.readStanding(request.row.fingerprint) === "condemned") {
            refuse(request, describeCondemned("no"));
            return;
        }
        creditRequest(input.findBudget(request.service.name), clock.monotonic(), readRetry());
        const waiting = { ...request.row, deadline: request.latestStart };
        const admitted = await gates.admit(request.service, waiting, request.signal);
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
            gates.finish(request.service, request.row.requestId);
        }
    };
}
