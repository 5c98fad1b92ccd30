/** Lets the response to a request wait until a later request for the same operation has been answered. */
export interface ResponseWaiters {
    /**
     * Reports that a request was answered, which ends all waits for its operation.
     *
     * @param operation - operation of the request
     */
    report(operation: string): void;
    /**
     * Waits for the next response.
     *
     * @param operation - operation to wait for
     * @returns resolves once another request for the operation has been answered
     */
    wait(operation: string): Promise<void>;
}

/**
 * Creates the waiters of all operations.
 *
 * @returns the waiters, none at first
 */
export function createResponseWaiters(): ResponseWaiters {
    const waiting = new Map<string, (() => void)[]>();
    return {
        report: operation => {
            const resolvers = waiting.get(operation) ?? [];
            waiting.delete(operation);
            resolvers.forEach(resolve => resolve());
        },
        wait: operation =>
            new Promise(resolve => {
                waiting.set(operation, [...(waiting.get(operation) ?? []), resolve]);
            }),
    };
}
