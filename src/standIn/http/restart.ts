import type { Milliseconds } from "../../types/index.js";
import type { StandInServer } from "./types.js";
import { wait } from "./wait.js";

const retryDelayMilliseconds: Milliseconds = 50;

/**
 * Closes all connections, and listens again after a delay.
 *
 * @param server - server of the stand-in
 * @param delay - time until the server listens again
 * @returns resolves once the connections are closed
 */
export async function restartServer(server: StandInServer, delay: Milliseconds): Promise<void> {
    await server.suspend();
    void resumeAfterDelay(server, delay);
}

/** Listens again after a delay; retries, since another process may briefly use the port. */
async function resumeAfterDelay(server: StandInServer, delay: Milliseconds): Promise<void> {
    let pause = delay;
    while (await wait(pause, server.stopped)) {
        try {
            await server.resume();
            return;
        }
        catch {
            pause = retryDelayMilliseconds;
        }
    }
}
