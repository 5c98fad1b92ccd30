import type { Logger } from "pino";
import { computeSlowdown } from "../../runtime/cost/index.js";
import { type AllowedRegions, areReportedWeightsVerified } from "../../runtime/gateway/index.js";
import type { HedgeDecision, RequestCauses, RetryBudget, RetryDecision } from "../../runtime/retry/index.js";
import type {
    Clock,
    Fingerprint,
    ListedBackendServer,
    Milliseconds,
    Refusal,
    RefusalReason,
    ServiceRow,
} from "../../types/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { ServerSelection, ServiceShare } from "./selection/serverSelector.js";
import type { AttemptFailure, GatewayRequest, OpenedAnswer } from "./types.js";

/** Dependencies of {@link createRequestLog}. */
export interface RequestLogInput {
    readonly decisions: DecisionLog;
    readonly logger: Logger;
    readonly clock: Clock;
    readonly countQueued: () => number;
    readonly countOpen: () => number;
    /** Computes how many requests the gateway may have in progress at a service. */
    readonly computeServiceShare: (service: ServiceRow, allowedRegions: AllowedRegions) => ServiceShare;
    readonly findAllowedRegions: (request: GatewayRequest) => AllowedRegions;
    /** Finds the condemned or suspect part of a prompt because of which a request is refused. */
    readonly findCrashingPart: (request: RequestCauses) => Fingerprint | undefined;
}

/** Attempt without progress. */
export interface StalledAttempt {
    readonly peer: string;
    /** Time since the last byte or complete event. */
    readonly silence: Milliseconds;
    /** Time that the request has left. */
    readonly remaining: Milliseconds;
    readonly budget: Pick<RetryBudget, "available">;
}

/** Decision on a failed attempt; `wait` if others are in flight. */
export type FailureDecision = RetryDecision | { readonly kind: "wait"; readonly reason: string; };

/** Logs the decisions on requests. */
export interface RequestLog {
    routing(request: GatewayRequest, selection: ServerSelection, attempt: number): void;
    /**
     * Logs a failed attempt.
     *
     * @param request - the request
     * @param failure - how the attempt failed
     * @param decision - what happens to the request
     * @param server - backend server of the attempt
     * @param budget - remaining retry budget of the gateway for the service
     */
    retry(
        request: GatewayRequest,
        failure: AttemptFailure,
        decision: FailureDecision,
        server: string,
        budget: number,
    ): void;
    /**
     * Logs whether another attempt is started beside one without progress.
     *
     * @param request - the request
     * @param decision - the decision
     * @param attempt - attempt without progress
     */
    hedge(request: GatewayRequest, decision: HedgeDecision, attempt: StalledAttempt): void;
    refusal(request: GatewayRequest, refusal: Refusal): void;
    /**
     * Logs that the status of an answer is no status of HTTP.
     *
     * @param request - the request
     * @param server - backend server that answered
     * @param detail - the status, or the status line if it cannot be read
     */
    invalidStatus(
        request: GatewayRequest,
        server: Pick<ListedBackendServer, "address" | "instance">,
        detail: string,
    ): void;
    /** Logs only answers that end with their connection, since nothing in their bytes proves that they are complete. */
    completion(request: GatewayRequest, answer: OpenedAnswer, bytes: number): void;
}

/** Reasons for which a request is refused because it, or a part of its prompt, may crash backend servers. */
const crashReasons: ReadonlySet<RefusalReason> = new Set(["crashes-backend-servers", "may-crash-backend-servers"]);

/**
 * Creates the log of decisions on requests.
 *
 * @param input - decision log and counts for its lines
 * @returns the log
 */
export function createRequestLog(
    input: RequestLogInput,
): RequestLog {
    const { clock, computeServiceShare, countOpen, countQueued, decisions, findCrashingPart, logger } = input;

    /** Formats the regions for the log; undefined, which leaves the field out, for requests without a limit. */
    function formatAllowedRegions(request: GatewayRequest): string | undefined {
        const allowed = input.findAllowedRegions(request);
        return allowed && [...allowed].join(", ");
    }

    return {
        routing: (request, { cost, decision, server, version }, attempt) => {
            const { requestId } = request.row;
            const deployment = request.service.name;
            const { candidates } = decision;
            if (decision.kind === "none") {
                const { reason } = decision;
                const details = { attempt, allowedRegions: formatAllowedRegions(request) };
                decisions.record({
                    kind: "routing",
                    outcome: "refused",
                    deployment,
                    requestId,
                    choice: "none",
                    reason,
                    candidates,
                    details,
                });
                return;
            }
            const { expected, reason, runner } = decision;
            const now = clock.monotonic();
            const isTimed = expected !== undefined && cost !== undefined;
            const { awaitingFirst, instance, outstanding, reportedAt, reportedLoad, reportedWaiting } = runner;
            const reportAge = Math.round(now - reportedAt);
            const reported = request.service.engine === undefined ? undefined : server?.reportedWeights;
            decisions.record({
                kind: "routing",
                outcome: "chosen",
                deployment,
                requestId,
                choice: instance,
                reason,
                candidates,
                details: {
                    attempt,
                    version,
                    orderSequence: reported?.newest?.orderSequence,
                    weightsVerified: reported && areReportedWeightsVerified(reported),
                    outstanding,
                    awaitingFirst,
                    reportedLoad,
                    reportedWaiting,
                    reportAge,
                    promptTokens: isTimed ? Math.round(cost.promptTokens) : undefined,
                    expectedTokens: isTimed ? Math.round(cost.outputTokens) : undefined,
                    expectedCost: isTimed ? Math.round(expected.cost) : undefined,
                    remainingWork: isTimed ? Math.round(expected.remainingWork) : undefined,
                    expectedFirstEvent: isTimed ? Math.round(expected.firstEvent) : undefined,
                    expectedEnd: isTimed ? Math.round(expected.end) : undefined,
                    slowdown: runner.speed && Math.round(computeSlowdown(runner.speed, now).total * 100) / 100,
                },
            });
        },
        invalidStatus: ({ row }, { address, instance }, detail) =>
            logger.warn({ requestId: row.requestId, peer: instance, address, detail }, "invalid status"),
        retry: (request, failure, decision, server, budget) => {
            decisions.record({
                kind: "retry",
                outcome: decision.kind === "give-up" ? "failed" : "chosen",
                deployment: request.service.name,
                requestId: request.row.requestId,
                choice: decision.kind,
                reason: decision.reason,
                candidates: 0,
                details: {
                    peer: server,
                    fingerprint: request.row.fingerprint,
                    budget: Math.round(budget * 10) / 10,
                    ran: failure.ran,
                    failure: failure.reason,
                    detail: failure.detail,
                    endedBy: failure.endedBy,
                    framing: failure.received?.framing,
                    receivedBytes: failure.received?.bytes,
                },
            });
        },
        hedge: (request, { kind, reason }, { budget, peer, remaining, silence }) => {
            decisions.record({
                kind: "retry",
                outcome: "chosen",
                deployment: request.service.name,
                requestId: request.row.requestId,
                choice: kind,
                reason,
                candidates: 0,
                details: {
                    peer,
                    silence: Math.round(silence),
                    remaining: Math.round(remaining),
                    budget: Math.round(budget.available * 10) / 10,
                },
            });
        },
        refusal: (request, refusal) => {
            const { contenders, free, gateways, own, leftOut, places, usable } = computeServiceShare(
                request.service,
                input.findAllowedRegions(request),
            );
            decisions.record({
                kind: "admission",
                outcome: "refused",
                deployment: request.service.name,
                requestId: request.row.requestId,
                choice: "refused",
                reason: refusal.reason,
                candidates: 0,
                details: {
                    fingerprint: request.row.fingerprint,
                    promptPart: crashReasons.has(refusal.reason) ? findCrashingPart(request.row) : undefined,
                    queued: countQueued(),
                    open: countOpen(),
                    places,
                    own,
                    free: Math.round(free * 10) / 10,
                    gateways,
                    contenders: Math.round(contenders * 10) / 10,
                    usable,
                    draining: leftOut.draining,
                    ejected: leftOut.ejected,
                    notServing: leftOut["not-serving"],
                    unverified: leftOut.unverified,
                    paused: leftOut.paused,
                    rateLimited: leftOut["rate-limited"],
                    outsideRegions: leftOut["outside-regions"],
                    evacuated: leftOut.evacuated,
                    cold: leftOut["slow-start"],
                    allowedRegions: formatAllowedRegions(request),
                    waited: Math.round(clock.monotonic() - request.completeAt),
                    priority: request.row.priority,
                    hasReturned: request.row.hasReturned,
                    retryAfterSeconds: refusal.retryAfterSeconds,
                },
            });
        },
        completion: (request, { framing, server, status }, bytes) => {
            if (framing !== "connection") {
                return;
            }
            decisions.record({
                kind: "completion",
                outcome: "chosen",
                deployment: request.service.name,
                requestId: request.row.requestId,
                choice: "complete",
                reason: "the connection was closed in order",
                candidates: 0,
                details: { peer: server.listed.instance, status, framing, receivedBytes: bytes },
            });
        },
    };
}
