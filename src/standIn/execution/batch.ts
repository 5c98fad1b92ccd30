import type { Clock, Milliseconds } from "../../types/index.js";

/** Limits the requests that run at the same time; further requests wait in a queue for a slot. */
export interface Batch {
    readonly running: number;
    readonly queued: number;
    /**
     * Waits for a slot. Requests with a higher priority get one first, then those that arrived first.
     *
     * @param priority - priority of the request
     * @param signal - removes the request from the queue
     * @returns a function that releases the slot; undefined if the request was canceled or the queue is full
     */
    acquireSlot(priority: number, signal: AbortSignal): Promise<(() => void) | undefined>;
    /** @returns whether all slots are taken and the queue is full */
    isFull(): boolean;
    /**
     * Reads the counts of running and queued requests at an earlier time.
     *
     * @param age - how long ago in milliseconds
     * @returns the counts at that time; zero if no change that old is recorded
     */
    readLoad(age: Milliseconds): { readonly running: number; readonly queued: number; };
}

interface WaitingRequest {
    readonly priority: number;
    readonly admit: () => void;
}

interface LoadSample {
    readonly at: Milliseconds;
    readonly running: number;
    readonly queued: number;
}

/** Number of the newest load samples that remain when older ones are discarded. */
const minimumKeptSamples = 1_000;

/**
 * Creates an empty batch.
 *
 * @param clock - source of time
 * @param capacity - requests that may run at the same time
 * @param queueLimit - requests that may wait
 * @returns the batch
 */
export function createBatch(clock: Clock, capacity: number, queueLimit: number): Batch {
    let running = 0;
    let queue: WaitingRequest[] = [];
    let samples: LoadSample[] = [];

    function recordLoad(): void {
        samples.push({ at: clock.monotonic(), running, queued: queue.length });
        if (samples.length > 2 * minimumKeptSamples) {
            samples = samples.slice(-minimumKeptSamples);
        }
    }

    function releaseSlot(): void {
        running -= 1;
        const next = queue.shift();
        if (next !== undefined) {
            running += 1;
            next.admit();
        }
        recordLoad();
    }

    /** Creates a function that releases a slot on its first call only. */
    function createRelease(): () => void {
        let released = false;
        return () => {
            if (!released) {
                released = true;
                releaseSlot();
            }
        };
    }

    function isFull(): boolean {
        return running >= capacity && queue.length >= queueLimit;
    }

    function waitForSlot(priority: number, signal: AbortSignal): Promise<(() => void) | undefined> {
        return new Promise(resolve => {
            const cancel = (): void => {
                queue = queue.filter(candidate => candidate !== waiting);
                recordLoad();
                resolve(undefined);
            };
            const waiting: WaitingRequest = {
                priority,
                admit: () => {
                    signal.removeEventListener("abort", cancel);
                    resolve(createRelease());
                },
            };
            const position = queue.findIndex(candidate => candidate.priority < priority);
            queue.splice(position === -1 ? queue.length : position, 0, waiting);
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
        acquireSlot: async (priority, signal) => {
            if (signal.aborted || isFull()) {
                return undefined;
            }
            if (running >= capacity) {
                return waitForSlot(priority, signal);
            }
            running += 1;
            recordLoad();
            return createRelease();
        },
        isFull,
        readLoad: age => {
            const at = clock.monotonic() - age;
            const sample = samples.findLast(candidate => candidate.at <= at);
            return { running: sample?.running ?? 0, queued: sample?.queued ?? 0 };
        },
    };
}
