import {
    type AdmissionOptions,
    type AdmissionTable,
    cancelRequest,
    createAdmissionTable,
    type DequeuedRequests,
    expireRequests,
    finishRequest,
    listQueuedPools,
    offerRequest,
    refuseQueuedUntil,
    refuseUntil,
    setCapacity,
    setPool,
} from "../../../runtime/admission/index.js";
import {
    type AllowedRegions,
    type ArrivalCount,
    computeArrivalRate,
    createArrivalCount,
    recordArrival,
    type ServiceDemand,
} from "../../../runtime/gateway/index.js";
import { explainBlocked } from "../../../runtime/routing/index.js";
import type {
    BlockedReason,
    Clock,
    Milliseconds,
    Refusal,
    RequestId,
    RequestRow,
    ServiceRow,
} from "../../../types/index.js";
import type { EligibleWait } from "./eligibility.js";
import type { ServiceShare } from "./serverSelector.js";

/** Result of waiting for a place, which allows a request to be in progress at its service. */
export type AdmissionOutcome =
    | {
        readonly kind: "started";
        readonly waited: Milliseconds;
        /** Releases the place; called once. */
        readonly finish: () => void;
    }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Dependencies of {@link createAdmissionQueues}. */
export interface AdmissionQueuesInput {
    readonly clock: Clock;
    readonly options: AdmissionOptions;
    /** Computes how many requests this gateway may have in progress at a service now, in any of the allowed regions. */
    readonly computeServiceShare: (
        service: ServiceRow,
        demand: ServiceDemand,
        allowedRegions?: AllowedRegions,
    ) => ServiceShare;
}

/** Queues of a gateway, one for each service. */
export interface AdmissionQueues {
    /**
     * Waits for a place.
     *
     * @param service - service of the request
     * @param request - the request; its deadline is the latest time at which it may start
     * @param wait - ends the wait
     * @param allowedRegions - regions in which it may be served. Default: any.
     * @returns once the request may start, with the release of its place, or its refusal
     */
    admit(
        service: ServiceRow,
        request: RequestRow,
        wait: Pick<EligibleWait, "isAborted" | "signal">,
        allowedRegions?: AllowedRegions,
    ): Promise<AdmissionOutcome>;
    /** Refuses the requests that are queued, and from now on all that cannot start at once. */
    close(): void;
    /** Updates the number of places, and refuses requests that can no longer start in time. */
    update(): void;
    /** Computes how many requests this gateway may have in progress at a service now, in any of the allowed regions. */
    readonly computeServiceShare: (service: ServiceRow, allowedRegions?: AllowedRegions) => ServiceShare;
    /** Counts the requests that are queued or in progress. */
    readonly countOpen: () => number;
    readonly countQueued: () => number;
}

/** Service whose backend servers accept no requests for a while. */
interface BlockedService {
    readonly resumesAt: Milliseconds;
    readonly reason: BlockedReason;
}

/** Another gateway can serve the request at once. */
const shuttingDown: Refusal = { ran: "no", reason: "draining", retryAfterSeconds: 0 };

interface ServiceQueue {
    service: ServiceRow;
    readonly table: AdmissionTable;
    readonly arrivals: ArrivalCount;
    readonly waiting: Map<RequestId, (outcome: AdmissionOutcome) => void>;
    /** Regions by the name of their pool, of the requests that wait or have just arrived. */
    readonly regions: Map<string, AllowedRegions>;
}

/**
 * Creates the queues of a gateway.
 *
 * @param input - clock, options and capacity
 * @returns the queues, empty
 */
export function createAdmissionQueues(input: AdmissionQueuesInput): AdmissionQueues {
    const { clock, options } = input;
    const queues = new Map<string, ServiceQueue>();
    let isClosed = false;
    let duplicates = 0;

    function findOrCreateQueue(service: ServiceRow): ServiceQueue {
        let queue = queues.get(service.name);
        if (queue === undefined) {
            queue = {
                service,
                table: createAdmissionTable(options),
                arrivals: createArrivalCount(clock.monotonic()),
                waiting: new Map(),
                regions: new Map(),
            };
            queues.set(service.name, queue);
        }
        queue.service = service;
        return queue;
    }

    /** Renames a request if its caller has used the identifier for another one that is still queued or in progress. */
    function makeDistinct({ table }: ServiceQueue, request: RequestRow): RequestRow {
        let { requestId } = request;
        while (table.queued.has(requestId) || table.inProgress.has(requestId)) {
            requestId = `${request.requestId} (duplicate ${++duplicates})`;
        }
        return { ...request, requestId };
    }

    function start(queue: ServiceQueue, requestId: RequestId, waited: Milliseconds): AdmissionOutcome {
        return {
            kind: "started",
            waited,
            finish: () => {
                const hasWaiting = queue.table.queued.size > 0;
                apply(queue, finishRequest(queue.table, requestId, clock.monotonic()));
                // Otherwise nothing reads the number of places until it is computed for the next arrival.
                if (hasWaiting) {
                    updateCapacity(queue);
                }
            },
        };
    }

    function settle(queue: ServiceQueue, requestId: RequestId, outcome: AdmissionOutcome): void {
        const resolve = queue.waiting.get(requestId);
        queue.waiting.delete(requestId);
        resolve?.(outcome);
    }

    function apply(queue: ServiceQueue, dequeued: DequeuedRequests): void {
        const now = clock.monotonic();
        for (const { requestId, receivedAt } of dequeued.start) {
            settle(queue, requestId, start(queue, requestId, now - receivedAt));
        }
        for (const { request, refusal } of dequeued.refuse) {
            settle(queue, request.requestId, { kind: "refused", refusal });
        }
    }

    function computeServiceShare(
        { arrivals, service, table }: ServiceQueue,
        allowedRegions?: AllowedRegions,
    ): ServiceShare {
        const arrivalRate = computeArrivalRate(arrivals, clock.monotonic());
        const demand = { arrivalRate, serviceTime: table.averageServiceTime };
        return input.computeServiceShare(service, demand, allowedRegions);
    }

    /** Updates the places in the regions to which waiting requests are confined, and forgets those of no request. */
    function updatePools(queue: ServiceQueue, usable: number, arriving: string | undefined): void {
        if (queue.regions.size === 0) {
            return;
        }
        const queued = listQueuedPools(queue.table);
        for (const [name, allowedRegions] of queue.regions) {
            if (name !== arriving && !queued.has(name)) {
                queue.regions.delete(name);
                setPool(queue.table, name, undefined);
                continue;
            }
            const share = computeServiceShare(queue, allowedRegions);
            setPool(queue.table, name, { capacity: share.places, share: share.usable / Math.max(1, usable) });
        }
    }

    /**
     * Updates the number of places.
     *
     * @param arriving - pool of a request that has just arrived
     * @returns time before which no backend server accepts requests, and why; undefined if one does now
     */
    function updateCapacity(queue: ServiceQueue, arriving?: string): BlockedService | undefined {
        const { leftOut, places, resumesAt, usable } = computeServiceShare(queue);
        updatePools(queue, usable, arriving);
        const now = clock.monotonic();
        apply(queue, setCapacity(queue.table, Math.min(options.maximumInProgress, places), now));
        if (usable > 0 || resumesAt === undefined || resumesAt <= now) {
            return undefined;
        }
        const reason = explainBlocked(leftOut);
        apply(queue, refuseQueuedUntil(queue.table, resumesAt, now, reason));
        return { resumesAt, reason };
    }

    function waitInQueue(queue: ServiceQueue, request: RequestRow, signal: AbortSignal): Promise<AdmissionOutcome> {
        return new Promise(resolve => {
            const cancel = (): void => apply(queue, cancelRequest(queue.table, request.requestId, clock.monotonic()));
            queue.waiting.set(request.requestId, outcome => {
                signal.removeEventListener("abort", cancel);
                resolve(outcome);
            });
            signal.addEventListener("abort", cancel, { once: true });
        });
    }

    function refuseQueued(queue: ServiceQueue): void {
        for (const requestId of [...queue.waiting.keys()]) {
            settle(queue, requestId, { kind: "refused", refusal: shuttingDown });
            apply(queue, cancelRequest(queue.table, requestId, clock.monotonic()));
        }
    }

    return {
        close: () => {
            isClosed = true;
            queues.forEach(refuseQueued);
        },
        admit: (service, arrived, wait, allowedRegions) => {
            // A signal that is already aborted dispatches no further event.
            if (wait.isAborted()) {
                return Promise.resolve({
                    kind: "refused",
                    refusal: { ran: "no", reason: "canceled", retryAfterSeconds: 0 },
                });
            }
            const queue = findOrCreateQueue(service);
            const capacityPool = allowedRegions && [...allowedRegions].sort().join(" ");
            const request = makeDistinct(queue, { ...arrived, capacityPool });
            if (capacityPool !== undefined) {
                queue.regions.set(capacityPool, allowedRegions);
            }
            const now = clock.monotonic();
            recordArrival(queue.arrivals, now);
            const blocked = updateCapacity(queue, capacityPool);
            if (blocked !== undefined) {
                const refusal = refuseUntil(queue.table, request, blocked.resumesAt, now, blocked.reason);
                return Promise.resolve({ kind: "refused", refusal });
            }
            const decision = offerRequest(queue.table, request, now);
            if (decision.kind === "start") {
                return Promise.resolve(start(queue, request.requestId, 0));
            }
            if (decision.kind === "refuse") {
                return Promise.resolve({ kind: "refused", refusal: decision.refusal });
            }
            const waiting = waitInQueue(queue, request, wait.signal);
            if (isClosed) {
                refuseQueued(queue);
                return waiting;
            }
            apply(queue, expireRequests(queue.table, now));
            return waiting;
        },
        update: () => {
            for (const queue of queues.values()) {
                if (queue.waiting.size > 0) {
                    updateCapacity(queue);
                    apply(queue, expireRequests(queue.table, clock.monotonic()));
                }
            }
        },
        computeServiceShare: (service, allowedRegions) =>
            computeServiceShare(findOrCreateQueue(service), allowedRegions),
        countOpen: () =>
            [...queues.values()].reduce((sum, { table }) => sum + table.inProgress.size + table.queued.size, 0),
        countQueued: () => [...queues.values()].reduce((sum, { table }) => sum + table.queued.size, 0),
    };
}
