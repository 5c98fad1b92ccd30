import { createServer } from "node:net";

/**
 * Finds free loopback ports.
 *
 * @param count - number of ports
 * @returns ports that were free at the time
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers = await Promise.all([...Array(count).keys()].map(() => listen()));
    const ports = servers.map(server => {
        const address = server.address();
        return address instanceof Object ? address.port : 0;
    });
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function listen(): Promise<ReturnType<typeof createServer>> {
    const server = createServer();
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
