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

/** Time to the first token without a cached prefix, with one, and for each further token. */
export const timing = { coldPrefill: 240, warmPrefill: 40, token: 20, tokens: 40 };
/** Requests that one server runs in its batch, that its agent queues, and prefixes that its cache holds. */
export const size = { batch: 8, queue: 32, cachedPrefixes: 24 };

interface RunningRequest {
    readonly requestId: string;
    readonly finishesAt: Milliseconds;
}

/** What became of requests on a server. */
export interface ServerEvents {
    readonly firstToken: (request: RequestRow, at: Milliseconds, cached: boolean) => void;
    readonly refused: (request: RequestRow, refusal: Refusal) => void;
    readonly finished: (request: RequestRow) => void;
}

/** In-process stand-in of an agent with a batching backend server and a limited prefix cache. */
export interface FakeServer {
    readonly instance: string;
    readonly admission: AdmissionTable;
    offer(request: RequestRow, now: Milliseconds): void;
    advance(now: Milliseconds): void;
    report(): RunnerLoadReport;
}

/**
 * Creates a server.
 *
 * @param instance - its instance
 * @param slowness - factor on all times; 1 for a healthy server
 * @param events - called when requests progress
 * @returns the server
 */
export function createFakeServer(instance: string, slowness: number, events: ServerEvents): FakeServer {
    const serviceTime = timing.coldPrefill + timing.token * timing.tokens;
    const admission = createAdmissionTable(resolveAdmissionOptions({
        maximumInProgress: size.batch,
        maximumQueued: size.queue,
        initialServiceTime: serviceTime,
    }));
    const running: RunningRequest[] = [];
    // Least recently used first.
    const cache = new Set<string>();

    function start(request: RequestRow, now: Milliseconds): void {
        const cached = cache.delete(request.prefix!);
        cache.add(request.prefix!);
        for (const oldest of cache) {
            if (cache.size <= size.cachedPrefixes) {
                break;
            }
            cache.delete(oldest);
        }
        const prefill = slowness * (cached ? timing.warmPrefill : timing.coldPrefill);
        events.firstToken(request, now + prefill, cached);
        const finishesAt = now + prefill + slowness * timing.token * timing.tokens;
        running.push({ requestId: request.requestId, finishesAt });
    }

    function apply(progress: ReturnType<typeof expireRequests>, now: Milliseconds): void {
        for (const request of progress.start) {
            start(request, now);
        }
        for (const { request, refusal } of progress.refuse) {
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
                apply(finishRequest(admission, requestId, now), now);
            }
            apply(expireRequests(admission, now), now);
        },
        report: () => ({
            manifestDigest: "digest",
            phase: "serving",
            draining: false,
            running: admission.inProgress.size,
            queued: admission.queued.size,
            capacity: size.batch,
            cachedPrefixes: [...cache].reverse(),
            age: 0,
        }),
    };
}
