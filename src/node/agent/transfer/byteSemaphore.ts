/** Semaphore that limits the bytes in memory. */
export interface ByteSemaphore {
    /**
     * Waits, in order of arrival, until bytes can be acquired. More bytes than the limit are granted once nothing else
     * is acquired.
     *
     * @param bytes - number of bytes
     * @param signal - aborts the wait
     * @returns function that releases the bytes, to be called once; undefined if the wait was aborted
     */
    acquire(bytes: number, signal: AbortSignal): Promise<(() => void) | undefined>;
}

interface Waiter {
    readonly bytes: number;
    readonly grant: () => void;
}

/**
 * Creates a semaphore for bytes in memory.
 *
 * @param maximumBytes - bytes that may be acquired at the same time
 * @returns the semaphore
 */
export function createByteSemaphore(maximumBytes: number): ByteSemaphore {
    const waiters: Waiter[] = [];
    let acquiredBytes = 0;

    function grantWaiters(): void {
        while (waiters.length > 0 && (acquiredBytes === 0 || acquiredBytes + waiters[0]!.bytes <= maximumBytes)) {
            const { grant, bytes } = waiters.shift()!;
            acquiredBytes += bytes;
            grant();
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
                    grantWaiters();
                };
                const waiter: Waiter = {
                    bytes,
                    grant: () => {
                        signal.removeEventListener("abort", cancel);
                        resolve(() => {
                            acquiredBytes -= bytes;
                            grantWaiters();
                        });
                    },
                };
                signal.addEventListener("abort", cancel, { once: true });
                waiters.push(waiter);
                grantWaiters();
            }),
    };
}
