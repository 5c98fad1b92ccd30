/** Requests released in one turn of the event loop; more would delay the next look at the connections. */
const releasesPerTurn = 16;

/** Queue of requests that wait for the event loop to look at its connections again. */
export interface TurnQueue {
    /**
     * Waits until the event loop has polled for input since the call. A connection whose request and end arrive together
     * reports only the request in the first poll.
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
export function createTurnQueue(): TurnQueue {
    const arrived: (() => void)[] = [];
    const polled: (() => void)[] = [];
    let scheduled = false;

    function schedule(): void {
        if (!scheduled) {
            scheduled = true;
            setImmediate(runTurn);
        }
    }

    function runTurn(): void {
        scheduled = false;
        const released = polled.splice(0, releasesPerTurn);
        // Immediates run after a poll, so the next turn comes after a poll that these have waited for.
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
