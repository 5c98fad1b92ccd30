/** Bound on the bytes that are kept in memory at once. */
export interface ByteGate {
    /**
     * Waits, in order of arrival, until bytes may be kept. More than the bound are let through when nothing else is kept.
     *
     * @param bytes - number of bytes
     * @param signal - ends the wait
     * @returns function that gives the bytes back, to be called once; undefined if the wait was ended
     */
    acquire(bytes: number, signal: AbortSignal): Promise<(() => void) | undefined>;
}

interface Waiter {
    readonly bytes: number;
    readonly begin: () => void;
}

/**
 * Creates a bound on bytes in memory.
 *
 * @param maximumBytes - bytes that may be kept at once
 * @returns the bound
 */
export function createByteGate(maximumBytes: number): ByteGate {
    const waiters: Waiter[] = [];
    let keptBytes = 0;

    function beginWaiters(): void {
        while (waiters.length > 0 && (keptBytes === 0 || keptBytes + waiters[0]!.bytes <= maximumBytes)) {
            const { begin, bytes } = waiters.shift()!;
            keptBytes += bytes;
            begin();
        }
    }

    return {
        acquire: (bytes, signal) =>
            new Promise(resolve => {
                if (signal.aborted) {
                    resolve(undefined);
                    return;
                }
                const cancel = () => {
                    waiters.splice(waiters.indexOf(waiter), 1);
                    resolve(undefined);
                    beginWaiters();
                };
                const waiter: Waiter = {
                    bytes,
                    begin: () => {
                        signal.removeEventListener("abort", cancel);
                        resolve(() => {
                            keptBytes -= bytes;
                            beginWaiters();
                        });
                    },
                };
                signal.addEventListener("abort", cancel, { once: true });
                waiters.push(waiter);
                beginWaiters();
            }),
    };
}
