/**
 * Waits for the signal to shut down.
 *
 * @returns resolves with the name of the first SIGTERM or SIGINT
 */
export function waitForShutdownSignal(): Promise<NodeJS.Signals> {
    return new Promise(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
}
