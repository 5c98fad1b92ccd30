import type { Logger } from "pino";
import type { Clock, DeploymentName, RequestId } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { createRecentRows } from "./recentRows.js";

/** Kinds of decisions that are logged, named after the decision functions. */
export type DecisionKind =
    | "routing"
    | "admission"
    | "retry"
    | "completion"
    | "idempotency"
    | "placement"
    | "hold"
    | "activation";

/** Result of a decision: an option was chosen, the request was refused, or it failed. */
export type DecisionOutcome = "chosen" | "refused" | "failed";

/** One decision. */
export interface Decision {
    readonly kind: DecisionKind;
    readonly outcome: DecisionOutcome;
    readonly deployment: DeploymentName;
    /** Undefined for decisions that concern a deployment as a whole. */
    readonly requestId?: RequestId | undefined;
    /** Chosen option: an instance, a change of a placement, or what happens to the request. */
    readonly choice: string;
    readonly reason: string;
    /** Number of options that the decision chose from. */
    readonly candidates: number;
    /** Further values, for example the attempt or the expected wait. */
    readonly details?: Readonly<Record<string, string | number | boolean | undefined>> | undefined;
}

/** Decision with its time and instance, as it is kept for the command `explain`. */
export interface RecordedDecision extends Decision {
    /** ISO 8601 time. */
    readonly decidedAt: string;
    readonly instance: string;
}

/** Options of a decision log. */
export interface DecisionLogOptions {
    readonly logger: Logger;
    readonly instance: string;
    readonly clock: Clock;
    /** Share of the requests whose decisions with the outcome `chosen` are written. Default: 1. */
    readonly sampleShare?: number | undefined;
    /** Maximum number of decisions kept in memory for requests, and also for deployments. Default: 2,000. */
    readonly recentDecisions?: number | undefined;
}

/** Writes decisions and keeps the newest ones. */
export interface DecisionLog {
    record(decision: Decision): void;
    /**
     * Lists kept decisions, oldest first.
     *
     * @param id - request id, or the name of a deployment for decisions that concern the deployment as a whole
     * @returns the decisions; empty if none is kept
     */
    listRecent(id: string): readonly RecordedDecision[];
}

/** Kinds that are always written: they are rare, and nothing else shows the decision. */
const unsampledKinds: ReadonlySet<DecisionKind> = new Set(["completion"]);

const levels = { chosen: "info", refused: "warn", failed: "error" } as const;

/**
 * Checks whether the decisions with the outcome `chosen` of a request are written. All processes sample the same
 * requests, so that a sampled request can be traced from the entry instance to the agent.
 *
 * @param requestId - id of the request
 * @param sampleShare - share of the requests, 0 to 1
 * @returns true if they are written
 */
export function isSampled(requestId: RequestId, sampleShare: number): boolean {
    return scoreRendezvous("decision", requestId) < sampleShare * 4_294_967_296;
}

/**
 * Creates a decision log. Refusals, failures, completions and decisions without a request are always written. Other
 * decisions are written at once for a share of the requests; for the rest, they are written once a later decision on
 * the same request is written, with the time at which they were made.
 *
 * @param options - logger, sampling and maximum number of kept decisions
 * @returns the decision log
 */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
    const { logger, instance, clock, sampleShare = 1, recentDecisions = 2_000 } = options;
    const requests = createRecentRows<RecordedDecision>(recentDecisions);
    const deployments = createRecentRows<RecordedDecision>(recentDecisions);
    const written = new WeakSet<RecordedDecision>();

    function write(recorded: RecordedDecision, isDelayed: boolean): void {
        const { candidates, choice, decidedAt, deployment, details, kind, outcome, reason, requestId } = recorded;
        const timeField = isDelayed ? { decidedAt } : {};
        written.add(recorded);
        logger[levels[outcome]](
            { ...details, kind, outcome, deployment, requestId, choice, reason, candidates, ...timeField },
            `${kind} decision`,
        );
    }

    function isWritten(decision: Decision): boolean {
        return decision.outcome !== "chosen" || unsampledKinds.has(decision.kind) ||
            decision.requestId === undefined ||
            isSampled(decision.requestId, sampleShare);
    }

    return {
        record: decision => {
            const { requestId, deployment } = decision;
            const recorded = { ...decision, decidedAt: clock.now().toISOString(), instance };
            const earlier = requestId === undefined ? [] : [...requests.list(requestId)];
            (requestId === undefined ? deployments : requests).add(requestId ?? deployment, recorded);
            if (!isWritten(decision)) {
                return;
            }
            for (const row of earlier) {
                if (!written.has(row)) {
                    write(row, true);
                }
            }
            write(recorded, false);
        },
        listRecent: id => [...deployments.list(id), ...requests.list(id)],
    };
}
