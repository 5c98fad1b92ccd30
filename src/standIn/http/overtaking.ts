/** Order of the answers of each operation. */
export interface Overtaking {
    /**
     * Reports that a request was answered.
     *
     * @param operation - operation of the request
     */
    report(operation: string): void;
    /**
     * Waits for the next answer.
     *
     * @param operation - operation to wait for
     * @returns once another request of the operation was answered
     */
    wait(operation: string): Promise<void>;
}

/**
 * Creates the record of answers that lets an earlier answer wait for a later one.
 *
 * @returns the record
 */
export function createOvertaking(): Overtaking {
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
