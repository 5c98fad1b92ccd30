import type { ClientAccount, Milliseconds, Refusal, RequestId, RequestRow } from "../../types/index.js";

/** Options of an admission table. */
export interface AdmissionOptions {
    /** Requests in progress at once. Default: 256. */
    readonly maximumInProgress: number;
    /** Requests waiting at once. Default: 512. */
    readonly maximumQueued: number;
    /** Share of the places that one client account may take while others wait. Default: 0.5. */
    readonly maximumAccountShare: number;
    /**
     * Share of the places that are filled before a request that has missed its target may start. Default: 0.9. Callers
     * that return late would else keep others waiting until they are late as well.
     */
    readonly lateShare: number;
    /** Weight of the newest service time in the moving average. Default: 0.1. */
    readonly serviceTimeWeight: number;
    /** Service time assumed before the first request has finished. Default: 200 ms. */
    readonly initialServiceTime: Milliseconds;
    /** Largest `retryAfterSeconds` of a refusal. Default: 30. */
    readonly maximumRetryAfterSeconds: number;
    /** Step to which `retryAfterSeconds` is rounded up. Default: 1, for callers that take whole seconds only. */
    readonly retryAfterStepSeconds: number;
}

/** What becomes of a request that is offered. */
export type AdmissionDecision =
    | { readonly kind: "start"; }
    | { readonly kind: "queue"; readonly expectedWait: Milliseconds; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };

/** Requests that leave the queue. */
export interface AdmissionProgress {
    readonly start: readonly RequestRow[];
    readonly refuse: readonly { readonly request: RequestRow; readonly refusal: Refusal; }[];
}

/** Requests in progress and waiting at one process; created by `createAdmissionTable`. */
export interface AdmissionTable {
    readonly options: AdmissionOptions;
    /** Requests that may be in progress at once now; initially `maximumInProgress`. */
    capacity: number;
    readonly inProgress: Map<RequestId, { readonly request: RequestRow; readonly startedAt: Milliseconds; }>;
    readonly queued: Map<RequestId, RequestRow>;
    readonly inProgressByAccount: Map<ClientAccount, number>;
    /** Queued requests of each account that has any, most urgent first. */
    readonly queuedByAccount: Map<ClientAccount, RequestRow[]>;
    /** Requests, queued or in progress, that run with no other request beside them. */
    readonly alone: Set<RequestId>;
    /** Requests that lost their place in the full queue; refused in the next progress. */
    readonly displaced: { readonly request: RequestRow; readonly refusal: Refusal; }[];
    averageServiceTime: Milliseconds;
    /** Monotonic time up to which refused callers have been asked to return. */
    nextReturnAt: Milliseconds;
}
