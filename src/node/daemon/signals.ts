/**
 * Waits for the signal to shut down. Further signals have no effect, since the shutdown ends by itself and the requests
 * in progress need its time.
 *
 * @returns resolves with the name of the first SIGTERM or SIGINT
 */
export function waitForShutdownSignal(): Promise<NodeJS.Signals> {
    return new Promise(resolve => {
        process.on("SIGTERM", resolve);
        process.on("SIGINT", resolve);
    });
}
