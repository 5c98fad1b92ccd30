import type { ClientAccount, Milliseconds, Refusal, RequestId, RequestRow } from "../../types/index.js";
import type { ReturnPlan } from "./plannedReturns.js";
import type { DemandTable } from "./rankDemand.js";

/** Options of an admission table. */
export interface AdmissionOptions {
    /** Most requests in progress at once: the initial number of slots. Default: 256. */
    readonly maximumInProgress: number;
    /** Most requests waiting at once. Default: 512. */
    readonly maximumQueued: number;
    /** Share of the slots that one client account may use while others wait. Default: 0.5. */
    readonly maximumAccountShare: number;
    /**
     * Share of the slots below which a late request, one that has missed its target, may start. Default: 0.9. The
     * others are reserved; else callers that retry late would delay other requests until they are late as well.
     */
    readonly lateShare: number;
    /** Weight of the newest service time in the exponential moving average. Default: 0.1. */
    readonly serviceTimeWeight: number;
    /** Service time assumed before the first request has finished. Default: 200 ms. */
    readonly initialServiceTime: Milliseconds;
    /** Largest `retryAfterSeconds` of a refusal, counted from when requests can start again. Default: 30. */
    readonly maximumRetryAfterSeconds: number;
    /** Step to which `retryAfterSeconds` is rounded up. Default: 1, for callers that take whole seconds only. */
    readonly retryAfterStepSeconds: number;
    /**
     * True if requests start by rank, and less urgent ones leave slots to the more urgent ones that are expected and
     * would otherwise be refused. Otherwise the shares of the accounts come before the rank. Default: false.
     */
    readonly rankReservation: boolean;
    /**
     * Starts that each rank and account is granted before more urgent requests, as a share of those in proportion to
     * its demand; applies with `rankReservation`. Default: 0.5.
     */
    readonly minimumRankShare: number;
    /**
     * True if the retry time of a refusal is planned from the throughput that new requests leave, and callers that
     * return at it are served before others. Default: false.
     */
    readonly plannedRetryAfter: boolean;
}

/** Result of `offerRequest`. */
export type AdmissionDecision =
    | { readonly kind: "start"; }
    | { readonly kind: "queue"; readonly expectedWait: Milliseconds; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };

/** Requests that leave the queue, to be started or refused by the caller of the function that returns it. */
export interface DequeuedRequests {
    readonly start: readonly RequestRow[];
    readonly refuse: readonly { readonly request: RequestRow; readonly refusal: Refusal; }[];
}

/** Slots of the part of the backend servers that may serve certain requests. */
export interface CapacityPool {
    /** Number of requests in progress, those outside the pool included, below which a request of the pool may start. */
    readonly capacity: number;
    /** Backend servers of the pool as a share of all that accept requests. */
    readonly share: number;
}

/** Requests in progress and waiting at one process; created by `createAdmissionTable`. */
export interface AdmissionTable {
    readonly options: AdmissionOptions;
    /** Number of slots: most requests in progress at once, initially `maximumInProgress`. */
    capacity: number;
    readonly inProgress: Map<RequestId, { readonly request: RequestRow; readonly startedAt: Milliseconds; }>;
    readonly queued: Map<RequestId, RequestRow>;
    readonly inProgressByAccount: Map<ClientAccount, number>;
    /** Queued requests of each account that has any, most urgent first. */
    readonly queuedByAccount: Map<ClientAccount, RequestRow[]>;
    /** Requests, queued or in progress, beside which no other request may be in progress. */
    readonly alone: Set<RequestId>;
    /** Requests that were displaced from the full queue; part of the next {@link DequeuedRequests} as refused. */
    readonly displaced: { readonly request: RequestRow; readonly refusal: Refusal; }[];
    averageServiceTime: Milliseconds;
    /** Monotonic time of the latest retry-after that was sent; the next refused caller gets a later one. */
    nextRetryAt: Milliseconds;
    readonly demand: DemandTable;
    readonly returns: ReturnPlan;
    /** Queued requests of returning callers for which capacity was planned. */
    readonly planned: Set<RequestId>;
    /** Pools by name. */
    readonly pools: Map<string, CapacityPool>;
}
