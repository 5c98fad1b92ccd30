import type { Milliseconds } from "../../types/index.js";
import { type StandInServer, wait } from "../http/index.js";

/**
 * Closes all connections, and listens again after a delay.
 *
 * @param server - server of the stand-in
 * @param delay - time until it listens again
 * @returns once the connections are closed
 */
export async function restartServer(server: StandInServer, delay: Milliseconds): Promise<void> {
    await server.suspend();
    void wait(delay, server.stopped).then(passed => passed ? server.resume() : undefined);
}
