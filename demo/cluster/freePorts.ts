import { createServer, type Server } from "node:net";

/** Ports that were handed out; a closed port may be found again before its process has bound it. */
const handedOut = new Set<number>();

/**
 * Finds free loopback ports. No port is returned twice in the life of this process.
 *
 * @param count - number of ports
 * @returns ports that were free at the time
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const found: number[] = [];
    while (found.length < count) {
        const servers = await Promise.all([...Array(count - found.length).keys()].map(() => listen()));
        const ports = servers.map(readPort);
        await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
        for (const port of ports.filter(port => !handedOut.has(port))) {
            handedOut.add(port);
            found.push(port);
        }
    }
    return found;
}

function readPort(server: Server): number {
    const address = server.address();
    return address instanceof Object ? address.port : 0;
}

function listen(): Promise<Server> {
    const server = createServer();
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
