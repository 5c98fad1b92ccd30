import type { Clock, Milliseconds } from "../../types/index.js";

/** Requests that run at the same time, and those that wait for a place. */
export interface Batch {
    readonly running: number;
    readonly queued: number;
    /**
     * Waits for a place: higher priority first, then the order of arrival.
     *
     * @param priority - priority of the request
     * @param signal - gives the place in the queue up
     * @returns a function that frees the place; undefined if the request was canceled or the queue is full
     */
    enter(priority: number, signal: AbortSignal): Promise<(() => void) | undefined>;
    /** @returns whether a further request would find the batch and the queue full */
    isFull(): boolean;
    /**
     * Reads the counts as they were.
     *
     * @param age - how long ago
     * @returns counts at that time
     */
    readLoad(age: Milliseconds): { readonly running: number; readonly queued: number; };
}

interface Waiting {
    readonly priority: number;
    readonly admit: () => void;
}

interface LoadSample {
    readonly at: Milliseconds;
    readonly running: number;
    readonly queued: number;
}

const sampleLimit = 1_000;

/**
 * Creates an empty batch.
 *
 * @param clock - source of time
 * @param capacity - requests that run at a time
 * @param queueLimit - requests that may wait
 * @returns the batch
 */
export function createBatch(clock: Clock, capacity: number, queueLimit: number): Batch {
    let running = 0;
    let queue: Waiting[] = [];
    let samples: LoadSample[] = [];

    function recordLoad(): void {
        samples.push({ at: clock.monotonic(), running, queued: queue.length });
        if (samples.length > 2 * sampleLimit) {
            samples = samples.slice(-sampleLimit);
        }
    }

    function leave(): void {
        running -= 1;
        const next = queue.shift();
        if (next !== undefined) {
            running += 1;
            next.admit();
        }
        recordLoad();
    }

    function createLeave(): () => void {
        let left = false;
        return () => {
            if (!left) {
                left = true;
                leave();
            }
        };
    }

    function isFull(): boolean {
        return running >= capacity && queue.length >= queueLimit;
    }

    function waitForPlace(priority: number, signal: AbortSignal): Promise<(() => void) | undefined> {
        return new Promise(resolve => {
            const cancel = (): void => {
                queue = queue.filter(candidate => candidate !== waiting);
                recordLoad();
                resolve(undefined);
            };
            const waiting: Waiting = {
                priority,
                admit: () => {
                    signal.removeEventListener("abort", cancel);
                    resolve(createLeave());
                },
            };
            const place = queue.findIndex(candidate => candidate.priority < priority);
            queue.splice(place === -1 ? queue.length : place, 0, waiting);
            signal.addEventListener("abort", cancel, { once: true });
            recordLoad();
        });
    }

    return {
        get running() {
            return running;
        },
        get queued() {
            return queue.length;
        },
        enter: async (priority, signal) => {
            if (signal.aborted || isFull()) {
                return undefined;
            }
            if (running >= capacity) {
                return waitForPlace(priority, signal);
            }
            running += 1;
            recordLoad();
            return createLeave();
        },
        isFull,
        readLoad: age => {
            const at = clock.monotonic() - age;
            const sample = samples.findLast(candidate => candidate.at <= at);
            return { running: sample?.running ?? 0, queued: sample?.queued ?? 0 };
        },
    };
}
