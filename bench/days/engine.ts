import type { RunnerLoadReport } from "../../src/runtime/routing/index.js";
import type { EngineTiming, Milliseconds } from "../../src/types/index.js";

/** Sizes and speeds of an engine that processes prompts one after the other and generates all answers in one batch. */
export const engineModel = {
    slots: 16,
    queue: 32,
    promptTokensPerMillisecond: 20.7,
    tokenMilliseconds: 9.27,
    /** Additional time per token for each answer in the batch. */
    tokenMillisecondsPerAnswer: 0.0232,
    loadMilliseconds: 300,
} as const;

/** The same as the configuration of the users' platform states it. This engine reads prompts while it writes answers. */
export const engineTiming: EngineTiming = {
    stepTime: engineModel.tokenMilliseconds,
    stepTimePerRequest: engineModel.tokenMillisecondsPerAnswer,
    stepTimePerThousandTokens: 0,
    promptTokensPerSecond: engineModel.promptTokensPerMillisecond * 1_000,
    timePerMillionPairs: 0,
    passTokens: 1_000_000,
    stepsPerPass: 1,
    usual: { promptTokens: 800, outputTokens: 110 },
};

/** Work of one request. */
export interface EngineWork {
    readonly requestId: string;
    readonly promptTokens: number;
    readonly answerTokens: number;
}

/** Callbacks for the progress of an engine's requests. */
export interface EngineEvents {
    firstToken(requestId: string, now: Milliseconds): void;
    /** A further token was written. */
    token(requestId: string): void;
    finished(requestId: string, now: Milliseconds): void;
    /** The request was aborted because the engine stopped or began to load weights. */
    broken(requestId: string, now: Milliseconds): void;
}

interface RunningWork {
    readonly work: EngineWork;
    promptTokensLeft: number;
    answerTokensLeft: number;
}

/** Simulated engine in virtual time. */
export interface Engine {
    readonly instance: string;
    readonly zone: string;
    /** Version of the loaded weights; 0 for none. */
    version: number;
    /** Factor on all times; 1 for a healthy engine. */
    slowness: number;
    /** True while the engine drains before it loads a new version; its reports then say that it takes no requests. */
    draining: boolean;
    /** @returns false if the request was not accepted: the queue is full, or no weights are loaded */
    offer(work: EngineWork): boolean;
    cancel(requestId: string): void;
    load(version: number, now: Milliseconds): void;
    /** Simulates the end of the process: all requests are aborted, and the weights are unloaded. */
    stop(now: Milliseconds): void;
    advance(now: Milliseconds, duration: Milliseconds): void;
    report(): RunnerLoadReport;
    readonly countOpen: () => number;
}

/**
 * Creates a simulated engine.
 *
 * @param instance - name of its instance
 * @param zone - availability zone
 * @param events - called when requests progress
 * @returns the engine, with version 1 loaded
 */
export function createEngine(instance: string, zone: string, events: EngineEvents): Engine {
    const running: RunningWork[] = [];
    const queued: EngineWork[] = [];
    let loading: { readonly version: number; readonly until: Milliseconds; } | undefined;

    function abortAll(now: Milliseconds): void {
        const unfinished = [...running.splice(0).map(({ work }) => work), ...queued.splice(0)];
        for (const { requestId } of unfinished) {
            events.broken(requestId, now);
        }
    }

    function startQueued(): void {
        while (running.length < engineModel.slots && queued.length > 0) {
            const work = queued.shift()!;
            running.push({ work, promptTokensLeft: work.promptTokens, answerTokensLeft: work.answerTokens });
        }
    }

    /** Processes prompts in the order in which their requests started, as many tokens as fit into the duration. */
    function readPrompts(now: Milliseconds, duration: Milliseconds): void {
        let tokens = duration * engineModel.promptTokensPerMillisecond / engine.slowness;
        for (const row of running) {
            if (row.promptTokensLeft <= 0 || tokens <= 0) {
                continue;
            }
            const read = Math.min(tokens, row.promptTokensLeft);
            row.promptTokensLeft -= read;
            tokens -= read;
            if (row.promptTokensLeft <= 0) {
                events.firstToken(row.work.requestId, now);
            }
        }
    }

    function writeAnswers(now: Milliseconds, duration: Milliseconds): void {
        const writers = running.filter(({ promptTokensLeft }) => promptTokensLeft <= 0);
        const timePerToken = engineModel.tokenMilliseconds + engineModel.tokenMillisecondsPerAnswer * writers.length;
        for (const row of writers) {
            const before = Math.ceil(row.answerTokensLeft);
            row.answerTokensLeft -= duration / (timePerToken * engine.slowness);
            for (let left = before; left > Math.max(0, Math.ceil(row.answerTokensLeft)); left--) {
                events.token(row.work.requestId);
            }
            if (row.answerTokensLeft <= 0) {
                running.splice(running.indexOf(row), 1);
                events.finished(row.work.requestId, now);
            }
        }
    }

    const engine: Engine = {
        instance,
        zone,
        version: 1,
        slowness: 1,
        draining: false,
        offer: work => {
            if (engine.version === 0 || loading !== undefined || queued.length >= engineModel.queue) {
                return false;
            }
            queued.push(work);
            startQueued();
            return true;
        },
        cancel: requestId => {
            for (const list of [running.map(({ work }) => work), queued]) {
                const index = list.findIndex(work => work.requestId === requestId);
                if (index >= 0) {
                    (list === queued ? queued : running).splice(index, 1);
                }
            }
        },
        load: (version, now) => {
            abortAll(now);
            loading = { version, until: now + engineModel.loadMilliseconds };
        },
        stop: now => {
            abortAll(now);
            loading = undefined;
            engine.version = 0;
        },
        advance: (now, duration) => {
            if (loading !== undefined && now >= loading.until) {
                engine.version = loading.version;
                engine.draining = false;
                loading = undefined;
            }
            startQueued();
            readPrompts(now, duration);
            writeAnswers(now, duration);
        },
        report: () => ({
            manifestDigest: engine.version === 0 ? undefined : `model@${engine.version}`,
            phase: engine.version === 0 ?
                "staging" :
                loading !== undefined || engine.draining ?
                "activating" :
                "serving",
            draining: false,
            running: running.length,
            queued: queued.length,
            capacity: engineModel.slots,
            cachedPrefixes: [],
            age: 0,
        }),
        countOpen: () => running.length + queued.length,
    };
    return engine;
}
