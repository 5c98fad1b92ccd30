import {
    type AdmissionTable,
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
} from "../../src/runtime/admission/index.js";
import type { RunnerLoadReport } from "../../src/runtime/routing/index.js";
import type { Milliseconds, Refusal, RequestRow } from "../../src/types/index.js";

/** Milliseconds to the first token without and with a cached prefix, and per token; `tokens` is the answer's length. */
export const timings = { coldPrefill: 240, warmPrefill: 40, token: 20, tokens: 40 };
/** Largest number of requests in a server's batch and in its agent's queue, and of prefixes in its cache. */
export const limits = { batch: 8, queue: 32, cachedPrefixes: 24 };

interface RunningRequest {
    readonly requestId: string;
    readonly finishesAt: Milliseconds;
}

/** Callbacks for the progress of a server's requests. */
export interface ServerEvents {
    readonly firstToken: (request: RequestRow, at: Milliseconds, cached: boolean) => void;
    readonly refused: (request: RequestRow, refusal: Refusal) => void;
    readonly finished: (request: RequestRow) => void;
}

/** Simulated agent with a batching backend server and a limited prefix cache. */
export interface SimulatedServer {
    readonly instance: string;
    readonly admission: AdmissionTable;
    offer(request: RequestRow, now: Milliseconds): void;
    advance(now: Milliseconds): void;
    report(): RunnerLoadReport;
}

/**
 * Creates a simulated server.
 *
 * @param instance - name of its instance
 * @param slowness - factor on all times; 1 for a healthy server
 * @param events - called when requests progress
 * @returns the server
 */
export function createSimulatedServer(instance: string, slowness: number, events: ServerEvents): SimulatedServer {
    const serviceTime = timings.coldPrefill + timings.token * timings.tokens;
    const admission = createAdmissionTable(resolveAdmissionOptions({
        maximumInProgress: limits.batch,
        maximumQueued: limits.queue,
        initialServiceTime: serviceTime,
    }));
    const running: RunningRequest[] = [];
    // Least recently used first.
    const cache = new Set<string>();

    function start(request: RequestRow, now: Milliseconds): void {
        const cached = cache.delete(request.prefix!);
        cache.add(request.prefix!);
        for (const oldest of cache) {
            if (cache.size <= limits.cachedPrefixes) {
                break;
            }
            cache.delete(oldest);
        }
        const prefill = slowness * (cached ? timings.warmPrefill : timings.coldPrefill);
        events.firstToken(request, now + prefill, cached);
        const finishesAt = now + prefill + slowness * timings.token * timings.tokens;
        running.push({ requestId: request.requestId, finishesAt });
    }

    function handleDequeued(dequeued: ReturnType<typeof expireRequests>, now: Milliseconds): void {
        for (const request of dequeued.start) {
            start(request, now);
        }
        for (const { request, refusal } of dequeued.refuse) {
            events.refused(request, refusal);
        }
    }

    return {
        instance,
        admission,
        offer: (request, now) => {
            const decision = offerRequest(admission, request, now);
            if (decision.kind === "start") {
                start(request, now);
            }
            else if (decision.kind === "refuse") {
                events.refused(request, decision.refusal);
            }
        },
        advance: now => {
            for (const { requestId } of running.filter(({ finishesAt }) => finishesAt <= now)) {
                running.splice(running.findIndex(row => row.requestId === requestId), 1);
                events.finished(admission.inProgress.get(requestId)!.request);
                handleDequeued(finishRequest(admission, requestId, now), now);
            }
            handleDequeued(expireRequests(admission, now), now);
        },
        report: () => ({
            manifestDigest: "digest",
            phase: "serving",
            draining: false,
            running: admission.inProgress.size,
            queued: admission.queued.size,
            capacity: limits.batch,
            cachedPrefixes: [...cache].reverse(),
            age: 0,
        }),
    };
}
