/** Maximum requests released per iteration of the event loop; more would delay the next poll of the connections. */
const releasesPerIteration = 16;

/** Queue of requests that wait until the event loop has polled its connections again. */
export interface PollQueue {
    /**
     * Waits until the event loop has polled for input after the call. If the request and the end of a connection arrive
     * together, the first poll reports only the request.
     *
     * @returns resolves in the order of the calls
     */
    awaitPoll(): Promise<void>;
}

/**
 * Creates a queue of requests that wait for the next poll.
 *
 * @returns the queue, empty
 */
export function createPollQueue(): PollQueue {
    const arrived: (() => void)[] = [];
    const polled: (() => void)[] = [];
    let scheduled = false;

    function schedule(): void {
        if (!scheduled) {
            scheduled = true;
            setImmediate(releaseBatch);
        }
    }

    function releaseBatch(): void {
        scheduled = false;
        const released = polled.splice(0, releasesPerIteration);
        // Immediates run after a poll, so one more poll takes place before the next batch is released.
        polled.push(...arrived.splice(0));
        if (polled.length > 0) {
            schedule();
        }
        for (const resolve of released) {
            resolve();
        }
    }

    return {
        awaitPoll: () =>
            new Promise(resolve => {
                arrived.push(resolve);
                schedule();
            }),
    };
}
