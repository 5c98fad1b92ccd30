import type { Milliseconds } from "../../types/index.js";
import type { StandInServer } from "./types.js";
import { wait } from "./wait.js";

const retryDelay: Milliseconds = 50;

/**
 * Closes all connections, and listens again after a delay.
 *
 * @param server - server of the stand-in
 * @param delay - time until it listens again
 * @returns once the connections are closed
 */
export async function restartServer(server: StandInServer, delay: Milliseconds): Promise<void> {
    await server.suspend();
    void resumeAfter(server, delay);
}

/** Another process may hold the port for a moment. */
async function resumeAfter(server: StandInServer, delay: Milliseconds): Promise<void> {
    let pause = delay;
    while (await wait(pause, server.stopped)) {
        try {
            await server.resume();
            return;
        }
        catch {
            pause = retryDelay;
        }
    }
}
