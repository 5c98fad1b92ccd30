import type { ResponseStart } from "../../generated/goldcrestpoint_pb.js";
import {
    cancelRequest,
    type DequeuedRequests,
    expireRequests,
    finishRequest,
    offerRequest,
} from "../../runtime/admission/index.js";
import { creditRequest, decideRetry, readStanding } from "../../runtime/retry/index.js";
import { recordOutcome } from "../../runtime/routing/index.js";
import type { Refusal, RequestId, RequestRow } from "../../types/index.js";
import { createLossTracker } from "../crashes/index.js";
import { type AttemptOutcome, type AttemptSink, executeAttempt } from "./attempt.js";
import type { EntryContext } from "./context.js";
import { classifyOutcome, refineRefusal } from "./outcomes.js";
import { chooseRunner, type RunnerChoice } from "./runnerChoice.js";
import type { RunnerDirectory } from "./runnerDirectory.js";
import type { SuspicionSharing } from "./suspicionSharing.js";

/** Request of a caller, with its body. */
export interface CallerRequest {
    readonly row: RequestRow;
    readonly method: string;
    /** Path and query that are sent to the backend server. */
    readonly path: string;
    readonly contentType: string;
    readonly body: Uint8Array;
    /** True if the entry instance created the key, so that no earlier request can have used it. */
    readonly hasGeneratedKey: boolean;
    /** True if the answer is forwarded while it is generated. */
    readonly stream: boolean;
    /** Aborted when the caller is gone or the time for a drain is over. */
    readonly signal: AbortSignal;
    /** Tells whether the signal was aborted because the time for a drain is over. Default: never. */
    readonly isDrainOver?: (() => boolean) | undefined;
}

/** Receives the final answer of a request. */
export interface ResponseSink {
    /** True once a part of the answer has reached the caller. */
    readonly begun: boolean;
    /** Returns the sink of a new attempt; the unsent part of an earlier attempt's answer is discarded. */
    beginAttempt(): AttemptSink;
    /** Sends what was held back of the complete answer, and ends the response. */
    complete(start: ResponseStart): void;
    /** Answers with a refusal; if a part of the answer was sent already, ends it so that it is recognized as broken. */
    refuse(refusal: Refusal): void;
}

/** Handles requests from admission through routing and retries to the final answer. */
export interface RequestPipeline {
    /**
     * Handles a request.
     *
     * @param request - the request
     * @param sink - receiver of the answer
     * @returns a promise that resolves when the final answer has been given
     */
    handle(request: CallerRequest, sink: ResponseSink): Promise<void>;
    /** Refuses queued requests that can no longer meet their deadline. */
    expire(): void;
    /** Number of requests without a final answer. */
    readonly open: number;
}

interface QueuedRequest {
    readonly begin: () => void;
    readonly refuse: (refusal: Refusal) => void;
}

interface AttemptHistory {
    count: number;
    mayHaveRun: boolean;
    alone: boolean;
    readonly excluded: Set<string>;
    /** Weight set that a retry has to use; undefined as long as the request cannot have run. */
    pinnedDigest: string | undefined;
}

/** Seconds after which a request that this instance cannot serve may be repeated; the load balancer sends it elsewhere. */
export const shortRetrySeconds = 1;

/** Replaces the reason of a request that was aborted because the time for a drain is over. */
function describeAbort({ isDrainOver }: CallerRequest, refusal: Refusal): Refusal {
    return refusal.reason === "canceled" && isDrainOver?.() === true ?
        { ...refusal, reason: "draining", retryAfterSeconds: shortRetrySeconds } :
        refusal;
}

/**
 * Creates the pipeline that queues, routes and retries the requests of an entry instance.
 *
 * @param context - the entry instance
 * @param directory - runners and connections
 * @param sharing - sharing of suspect requests with other entry instances
 * @returns the pipeline
 */
export function createRequestPipeline(
    context: EntryContext,
    directory: RunnerDirectory,
    sharing: SuspicionSharing,
): RequestPipeline {
    const { admission, clock, decisions, metrics, settings, suspects } = context;
    const queuedRequests = new Map<RequestId, QueuedRequest>();
    const losses = createLossTracker(clock);
    let open = 0;

    function handleDequeued(dequeued: DequeuedRequests): void {
        for (const { request, refusal } of dequeued.refuse) {
            const queuedRequest = queuedRequests.get(request.requestId);
            queuedRequests.delete(request.requestId);
            queuedRequest?.refuse(refusal);
        }
        for (const { requestId } of dequeued.start) {
            const queuedRequest = queuedRequests.get(requestId);
            queuedRequests.delete(requestId);
            queuedRequest?.begin();
        }
    }

    /** Resolves to undefined when the request may start, or to its refusal. */
    function waitForAdmission({ row, signal }: CallerRequest): Promise<Refusal | undefined> {
        // A signal that is already aborted dispatches no further event.
        if (signal.aborted) {
            return Promise.resolve({ ran: "no", reason: "canceled", retryAfterSeconds: 0 });
        }
        const decision = offerRequest(admission, row, clock.monotonic());
        if (decision.kind === "refuse") {
            return Promise.resolve(decision.refusal);
        }
        if (decision.kind === "start") {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            queuedRequests.set(row.requestId, { begin: () => resolve(undefined), refuse: resolve });
            signal.addEventListener("abort", () => {
                if (queuedRequests.has(row.requestId)) {
                    handleDequeued(cancelRequest(admission, row.requestId, clock.monotonic()));
                }
            });
            // Refuses the queued request that this one may have displaced now instead of at the next tick.
            handleDequeued(expireRequests(admission, clock.monotonic()));
        });
    }

    function refuse(request: CallerRequest, sink: ResponseSink, cause: Refusal): void {
        const { row } = request;
        const refusal = describeAbort(request, cause);
        decisions.record({
            kind: "admission",
            outcome: "refused",
            deployment: row.deployment,
            requestId: row.requestId,
            choice: `ran: ${refusal.ran}`,
            reason: refusal.reason,
            candidates: 0,
        });
        metrics.requests.add(1, { deployment: row.deployment, result: `refused-${refusal.ran}` });
        sink.refuse(refusal);
    }

    async function handle(request: CallerRequest, sink: ResponseSink): Promise<void> {
        open += 1;
        try {
            creditRequest(context.retryBudget, clock.monotonic(), settings.retry);
            const refusal = await waitForAdmission(request);
            if (refusal !== undefined) {
                refuse(request, sink, refusal);
                return;
            }
            try {
                await runAttempts(request, sink);
            }
            finally {
                handleDequeued(finishRequest(admission, request.row.requestId, clock.monotonic()));
            }
        }
        finally {
            open -= 1;
        }
    }

    async function runAttempts(request: CallerRequest, sink: ResponseSink): Promise<void> {
        const standing = readStanding(suspects, request.row.fingerprint, clock.monotonic());
        if (standing === "condemned") {
            refuse(request, sink, {
                ran: "no",
                reason: "crashes-backend-servers",
                retryAfterSeconds: Math.ceil(settings.retry.condemnedDuration / 1_000),
            });
            return;
        }
        const attempts: AttemptHistory = {
            count: 0,
            mayHaveRun: false,
            alone: standing === "suspect",
            excluded: new Set(),
            pinnedDigest: undefined,
        };
        while (await runAttempt(request, sink, attempts)) {
            metrics.retries.add(1, { deployment: request.row.deployment });
        }
    }

    /** Returns true if another attempt follows. */
    async function runAttempt(request: CallerRequest, sink: ResponseSink, attempts: AttemptHistory): Promise<boolean> {
        const { row } = request;
        const choice = chooseRunner(context, directory, request, attempts.excluded, attempts.pinnedDigest);
        attempts.count += 1;
        if (choice.kind === "none") {
            const ran = attempts.mayHaveRun ? "unknown" : "no";
            refuse(request, sink, { ran, reason: choice.reason, retryAfterSeconds: choice.retryAfterSeconds });
            return false;
        }
        const outcome = await execute(request, sink, choice, attempts.alone);
        if (outcome.kind === "complete") {
            if (attempts.alone) {
                sharing.recordSuccessAlone(row.fingerprint);
            }
            metrics.requests.add(1, { deployment: row.deployment, result: "answered" });
            sink.complete(outcome.start);
            return false;
        }
        return handleFailure(request, sink, choice, attempts, outcome);
    }

    async function execute(
        request: CallerRequest,
        sink: ResponseSink,
        choice: Extract<RunnerChoice, { kind: "chosen"; }>,
        alone: boolean,
    ): Promise<AttemptOutcome> {
        const { row } = request;
        const { runner } = choice;
        if (runner !== undefined) {
            runner.outstanding += 1;
        }
        const remaining = Math.max(1, Math.ceil(row.deadline - clock.monotonic()));
        const endProgress = losses.begin(choice.instance, row.fingerprint);
        const outcome = await executeAttempt({
            client: choice.client,
            sink: sink.beginAttempt(),
            signal: request.signal,
            timeLimit: remaining,
            request: {
                requestId: row.requestId,
                deployment: row.deployment,
                placementOffset: BigInt(choice.placementOffset),
                version: "",
                manifestDigest: choice.manifestDigest ?? "",
                clientAccount: row.clientAccount,
                priority: row.priority,
                deadlineMilliseconds: BigInt(remaining),
                idempotent: row.idempotent,
                idempotencyKey: row.idempotencyKey ?? "",
                fingerprint: row.fingerprint,
                alone,
                stream: request.stream,
                method: request.method,
                path: request.path,
                contentType: request.contentType,
                body: request.body,
                prefix: row.prefix ?? "",
            },
        });
        endProgress();
        if (runner !== undefined) {
            runner.outstanding -= 1;
            recordOutcome(runner, classifyOutcome(outcome), clock.monotonic(), settings.routing);
        }
        return outcome;
    }

    function handleFailure(
        request: CallerRequest,
        sink: ResponseSink,
        choice: Extract<RunnerChoice, { kind: "chosen"; }>,
        attempts: AttemptHistory,
        outcome: Extract<AttemptOutcome, { kind: "failed"; }>,
    ): boolean {
        const { row } = request;
        const refusal = attempts.mayHaveRun ? outcome.refusal : refineRefusal(outcome.refusal, request.hasGeneratedKey);
        if (outcome.invalidStatus !== undefined) {
            const detail = `status ${outcome.invalidStatus} is no status of a complete answer`;
            context.logger.warn({ requestId: row.requestId, peer: choice.instance, detail }, "invalid status");
        }
        if (outcome.crash !== undefined) {
            sharing.recordCrash(outcome.crash);
        }
        else if (outcome.connectionBroke) {
            sharing.recordCrash(losses.recordLoss(choice.instance, row.fingerprint, attempts.alone));
        }
        attempts.mayHaveRun ||= refusal.ran === "unknown";
        attempts.pinnedDigest = attempts.mayHaveRun ? choice.manifestDigest : undefined;
        attempts.excluded.add(choice.instance);
        const decision = decideRetry({
            request: row,
            refusal,
            isOver: request.signal.aborted,
            backendServerCrashed: outcome.crash !== undefined,
            attempts: attempts.count,
            answerBegun: sink.begun,
            mayHaveRun: attempts.mayHaveRun,
            standing: readStanding(suspects, row.fingerprint, clock.monotonic()),
            budget: context.retryBudget,
            now: clock.monotonic(),
            options: settings.retry,
        });
        decisions.record({
            kind: "retry",
            outcome: decision.kind === "retry" ? "chosen" : "failed",
            deployment: row.deployment,
            requestId: row.requestId,
            choice: decision.kind,
            reason: decision.reason,
            candidates: 0,
            details: { runner: choice.instance, failure: refusal.reason, ran: refusal.ran, attempt: attempts.count },
        });
        if (decision.kind === "retry") {
            attempts.alone = decision.alone;
            return true;
        }
        metrics.requests.add(1, { deployment: row.deployment, result: `failed-${decision.refusal.ran}` });
        sink.refuse(describeAbort(request, decision.refusal));
        return false;
    }

    return {
        handle,
        expire: () => handleDequeued(expireRequests(admission, clock.monotonic())),
        get open() {
            return open;
        },
    };
}
