import type { RunnerLoadReport } from "../../src/runtime/routing/index.js";
import type { EngineTiming, Milliseconds } from "../../src/types/index.js";

/** Speed and size of a simulated engine that reads prompts in parts between the steps of the answers in progress. */
export const batchTiming: EngineTiming = {
    stepTime: 8.87,
    stepTimePerRequest: 0.03,
    stepTimePerThousandTokens: 0.1,
    promptTokensPerSecond: 19_100,
    timePerMillionPairs: 2,
    passTokens: 2_048,
    stepsPerPass: 5,
    usual: { promptTokens: 900, outputTokens: 100 },
    memoryTokens: 1_180_000,
};

export const batchSlots = 12;
const batchQueue = 24;

/** Request at a simulated engine. */
export interface BatchRequest {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Called when tokens of the answer have arrived. */
    readonly onEvent: (now: Milliseconds) => void;
    readonly onEnd: (now: Milliseconds) => void;
}

interface RunningRequest {
    readonly request: BatchRequest;
    promptTokensLeft: number;
    outputTokensLeft: number;
}

/** Simulated engine that works in passes. */
export interface BatchEngine {
    readonly instance: string;
    readonly zone: string;
    /** Factor on all times. */
    readonly slowness: number;
    /** @returns false if the queue is full */
    offer(request: BatchRequest, now: Milliseconds): boolean;
    /** Ends the pass that is due, if there is one, and starts the next. */
    advance(now: Milliseconds): void;
    report(): RunnerLoadReport;
}

/**
 * Creates a simulated engine.
 *
 * @param instance - name of its instance
 * @param zone - its zone
 * @param slowness - factor on all times
 * @returns the idle engine
 */
export function createBatchEngine(instance: string, zone: string, slowness: number): BatchEngine {
    const running: RunningRequest[] = [];
    const queued: BatchRequest[] = [];
    let passEndsAt: Milliseconds | undefined;
    let writing: RunningRequest[] = [];

    function startPass(now: Milliseconds): void {
        while (running.length < batchSlots && queued.length > 0) {
            const request = queued.shift()!;
            const { outputTokens: outputTokensLeft, promptTokens: promptTokensLeft } = request;
            running.push({ request, promptTokensLeft, outputTokensLeft });
        }
        writing = running.filter(({ promptTokensLeft }) => promptTokensLeft <= 0);
        let duration = 0;
        let free = batchTiming.passTokens;
        for (const row of running) {
            const tokens = Math.min(free, Math.max(0, row.promptTokensLeft));
            const before = row.request.promptTokens - row.promptTokensLeft;
            row.promptTokensLeft -= tokens;
            free -= tokens;
            duration += tokens * 1_000 / batchTiming.promptTokensPerSecond +
                tokens * (before + tokens / 2) / 1_000_000 * batchTiming.timePerMillionPairs;
        }
        if (writing.length > 0) {
            const context = writing.reduce(
                (sum, { outputTokensLeft, request }) =>
                    sum + request.promptTokens + request.outputTokens - outputTokensLeft,
                0,
            );
            duration += batchTiming.stepsPerPass * (batchTiming.stepTime +
                writing.length * batchTiming.stepTimePerRequest +
                context / 1_000 * batchTiming.stepTimePerThousandTokens);
        }
        passEndsAt = running.length === 0 ? undefined : now + duration * slowness;
    }

    function endPass(now: Milliseconds): void {
        for (const row of writing) {
            row.outputTokensLeft -= batchTiming.stepsPerPass;
            row.request.onEvent(now);
            if (row.outputTokensLeft <= 0) {
                running.splice(running.indexOf(row), 1);
                row.request.onEnd(now);
            }
        }
    }

    return {
        instance,
        zone,
        slowness,
        offer: (request, now) => {
            if (running.length >= batchSlots && queued.length >= batchQueue) {
                return false;
            }
            queued.push(request);
            if (passEndsAt === undefined) {
                startPass(now);
            }
            return true;
        },
        advance: now => {
            while (passEndsAt !== undefined && passEndsAt <= now) {
                const endedAt = passEndsAt;
                endPass(endedAt);
                startPass(endedAt);
            }
        },
        report: () => ({
            manifestDigest: "digest",
            phase: "serving",
            draining: false,
            running: running.length,
            queued: queued.length,
            capacity: batchSlots,
            cachedPrefixes: [],
            age: 0,
        }),
    };
}
