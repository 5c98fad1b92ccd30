import { createServer } from "node:net";

/** Below the ports that the system gives to outgoing connections, which would take a port that is free for a moment. */
const lowestPort = 10_000;
const portCount = 22_000;
/** Distance of the first ports of two processes with successive identifiers; more than a cluster needs. */
const portsPerProcess = 211;

let nextPort = process.pid * portsPerProcess % portCount;

/**
 * Finds free loopback ports. Clusters of this process get different ports, and so do those of other processes nearly
 * always, since each begins at a place of its own.
 *
 * @param count - number of ports
 * @returns ports that were free at the time
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const found: number[] = [];
    while (found.length < count) {
        const port = lowestPort + nextPort;
        nextPort = (nextPort + 1) % portCount;
        if (await isFree(port)) {
            found.push(port);
        }
    }
    return found;
}

function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
