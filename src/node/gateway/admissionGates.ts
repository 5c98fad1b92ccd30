import {
    type AdmissionOptions,
    type AdmissionProgress,
    type AdmissionTable,
    cancelRequest,
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    refuseQueuedUntil,
    refuseUntil,
    setCapacity,
} from "../../runtime/admission/index.js";
import {
    type Arrivals,
    createArrivals,
    readArrivalRate,
    recordArrival,
    type ServiceDemand,
} from "../../runtime/gateway/index.js";
import type { Clock, Milliseconds, Refusal, RequestId, RequestRow, ServiceRow } from "../../types/index.js";
import type { ServiceShare } from "./serverChoice.js";

/** Result of waiting for a place. */
export type AdmissionOutcome =
    | { readonly kind: "started"; readonly waited: Milliseconds; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Dependencies of {@link createAdmissionGates}. */
export interface AdmissionGatesInput {
    readonly clock: Clock;
    readonly options: AdmissionOptions;
    /** Computes how many requests this gateway may have in progress at a service now. */
    readonly measureShare: (service: ServiceRow, demand: ServiceDemand) => ServiceShare;
}

/** Queues of a gateway, one for each service. */
export interface AdmissionGates {
    /**
     * Waits for a place.
     *
     * @param service - service of the request
     * @param request - the request; its deadline is the latest time at which it may start
     * @param signal - ends the wait
     * @returns once the request may start, or its refusal
     */
    admit(service: ServiceRow, request: RequestRow, signal: AbortSignal): Promise<AdmissionOutcome>;
    /** Frees the place of a request. */
    finish(service: ServiceRow, requestId: RequestId): void;
    /** Adapts the number of places, and refuses what can no longer start in time. */
    update(): void;
    /** Computes how many requests this gateway may have in progress at a service now. */
    readonly measureShare: (service: ServiceRow) => ServiceShare;
    /** Requests that wait or are in progress. */
    readonly countOpen: () => number;
    readonly countQueued: () => number;
}

interface Gate {
    service: ServiceRow;
    readonly table: AdmissionTable;
    readonly arrivals: Arrivals;
    readonly waiting: Map<RequestId, (outcome: AdmissionOutcome) => void>;
}

/**
 * Creates the queues of a gateway.
 *
 * @param input - clock, options and capacity
 * @returns the queues, empty
 */
export function createAdmissionGates(input: AdmissionGatesInput): AdmissionGates {
    const { clock, options } = input;
    const gates = new Map<string, Gate>();

    function findGate(service: ServiceRow): Gate {
        let gate = gates.get(service.name);
        if (gate === undefined) {
            gate = {
                service,
                table: createAdmissionTable(options),
                arrivals: createArrivals(clock.monotonic()),
                waiting: new Map(),
            };
            gates.set(service.name, gate);
        }
        gate.service = service;
        return gate;
    }

    function settle(gate: Gate, requestId: RequestId, outcome: AdmissionOutcome): void {
        const resolve = gate.waiting.get(requestId);
        gate.waiting.delete(requestId);
        resolve?.(outcome);
    }

    function apply(gate: Gate, progress: AdmissionProgress): void {
        const now = clock.monotonic();
        for (const { requestId, receivedAt } of progress.start) {
            settle(gate, requestId, { kind: "started", waited: now - receivedAt });
        }
        for (const { request, refusal } of progress.refuse) {
            settle(gate, request.requestId, { kind: "refused", refusal });
        }
    }

    function measureShare({ arrivals, service, table }: Gate): ServiceShare {
        const arrivalRate = readArrivalRate(arrivals, clock.monotonic());
        return input.measureShare(service, { arrivalRate, serviceTime: table.averageServiceTime });
    }

    /** Adapts the places; returns the time before which no backend server takes requests, undefined if one does. */
    function adapt(gate: Gate): Milliseconds | undefined {
        const { places, resumesAt, usable } = measureShare(gate);
        const now = clock.monotonic();
        apply(gate, setCapacity(gate.table, Math.min(options.maximumInProgress, places), now));
        if (usable > 0 || resumesAt === undefined || resumesAt <= now) {
            return undefined;
        }
        apply(gate, refuseQueuedUntil(gate.table, resumesAt, now));
        return resumesAt;
    }

    function waitInQueue(gate: Gate, request: RequestRow, signal: AbortSignal): Promise<AdmissionOutcome> {
        return new Promise(resolve => {
            const cancel = (): void => apply(gate, cancelRequest(gate.table, request.requestId, clock.monotonic()));
            gate.waiting.set(request.requestId, outcome => {
                signal.removeEventListener("abort", cancel);
                resolve(outcome);
            });
            signal.addEventListener("abort", cancel, { once: true });
        });
    }

    return {
        admit: (service, request, signal) => {
            // A signal that was aborted before reports nothing later.
            if (signal.aborted) {
                return Promise.resolve({
                    kind: "refused",
                    refusal: { ran: "no", reason: "canceled", retryAfterSeconds: 0 },
                });
            }
            const gate = findGate(service);
            const now = clock.monotonic();
            recordArrival(gate.arrivals, now);
            const resumesAt = adapt(gate);
            if (resumesAt !== undefined) {
                return Promise.resolve({ kind: "refused", refusal: refuseUntil(gate.table, request, resumesAt, now) });
            }
            const decision = offerRequest(gate.table, request, now);
            if (decision.kind === "start") {
                return Promise.resolve({ kind: "started", waited: 0 });
            }
            if (decision.kind === "refuse") {
                return Promise.resolve({ kind: "refused", refusal: decision.refusal });
            }
            const waiting = waitInQueue(gate, request, signal);
            apply(gate, expireRequests(gate.table, now));
            return waiting;
        },
        finish: (service, requestId) => {
            const gate = findGate(service);
            apply(gate, finishRequest(gate.table, requestId, clock.monotonic()));
            adapt(gate);
        },
        update: () => {
            for (const gate of gates.values()) {
                if (gate.waiting.size > 0) {
                    adapt(gate);
                    apply(gate, expireRequests(gate.table, clock.monotonic()));
                }
            }
        },
        measureShare: service => measureShare(findGate(service)),
        countOpen: () =>
            [...gates.values()].reduce((sum, { table }) => sum + table.inProgress.size + table.queued.size, 0),
        countQueued: () => [...gates.values()].reduce((sum, { table }) => sum + table.queued.size, 0),
    };
}
