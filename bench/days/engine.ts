import type { RunnerLoadReport } from "../../src/runtime/routing/index.js";
import type { Milliseconds } from "../../src/types/index.js";

/** Times of an engine that reads prompts one after the other and writes all answers in one batch. */
export const engineModel = {
    slots: 16,
    queue: 32,
    promptTokensPerMillisecond: 20.7,
    tokenMilliseconds: 9.27,
    /** Further time of a token for each answer that is written beside it. */
    tokenMillisecondsPerAnswer: 0.0232,
    loadMilliseconds: 300,
} as const;

/** Work of one request. */
export interface EngineWork {
    readonly requestId: string;
    readonly promptTokens: number;
    readonly answerTokens: number;
}

/** What an engine tells of its requests. */
export interface EngineEvents {
    firstToken(requestId: string, now: Milliseconds): void;
    finished(requestId: string, now: Milliseconds): void;
    /** The request was cut off, since the engine stopped or began to load. */
    broken(requestId: string, now: Milliseconds): void;
}

interface RunningWork {
    readonly work: EngineWork;
    promptLeft: number;
    answerLeft: number;
}

/** Model of one engine in virtual time. */
export interface Engine {
    readonly instance: string;
    readonly zone: string;
    /** Loaded version; 0 for none. */
    version: number;
    /** Factor on all times; 1 for a healthy engine. */
    slowness: number;
    /** Takes no requests while its agent says so. */
    draining: boolean;
    /** @returns false if the queue is full, or nothing is loaded: the request did not run */
    offer(work: EngineWork): boolean;
    cancel(requestId: string): void;
    load(version: number, now: Milliseconds): void;
    /** Ends the process; all requests break, and the weights are gone. */
    stop(now: Milliseconds): void;
    advance(now: Milliseconds, duration: Milliseconds): void;
    report(): RunnerLoadReport;
    readonly countOpen: () => number;
}

/**
 * Creates an engine.
 *
 * @param instance - its name
 * @param zone - availability zone
 * @param events - called when requests progress
 * @returns the engine, with version 1 loaded
 */
export function createEngine(instance: string, zone: string, events: EngineEvents): Engine {
    const running: RunningWork[] = [];
    const queued: EngineWork[] = [];
    let loading: { readonly version: number; readonly until: Milliseconds; } | undefined;

    function breakAll(now: Milliseconds): void {
        const open = [...running.splice(0).map(({ work }) => work), ...queued.splice(0)];
        for (const { requestId } of open) {
            events.broken(requestId, now);
        }
    }

    function startQueued(): void {
        while (running.length < engineModel.slots && queued.length > 0) {
            const work = queued.shift()!;
            running.push({ work, promptLeft: work.promptTokens, answerLeft: work.answerTokens });
        }
    }

    /** Reads prompts in order; returns the time that is left for answers. */
    function readPrompts(now: Milliseconds, duration: Milliseconds): void {
        let tokens = duration * engineModel.promptTokensPerMillisecond / engine.slowness;
        for (const row of running) {
            if (row.promptLeft <= 0 || tokens <= 0) {
                continue;
            }
            const read = Math.min(tokens, row.promptLeft);
            row.promptLeft -= read;
            tokens -= read;
            if (row.promptLeft <= 0) {
                events.firstToken(row.work.requestId, now);
            }
        }
    }

    function writeAnswers(now: Milliseconds, duration: Milliseconds): void {
        const writers = running.filter(({ promptLeft }) => promptLeft <= 0);
        const step = engineModel.tokenMilliseconds + engineModel.tokenMillisecondsPerAnswer * writers.length;
        for (const row of writers) {
            row.answerLeft -= duration / (step * engine.slowness);
            if (row.answerLeft <= 0) {
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
            breakAll(now);
            loading = { version, until: now + engineModel.loadMilliseconds };
        },
        stop: now => {
            breakAll(now);
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
