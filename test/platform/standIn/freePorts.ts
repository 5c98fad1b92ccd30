import { createServer, type Server } from "node:net";

const host = "127.0.0.1";
// Below the ports that systems assign to sockets by themselves, from 32768 on Linux and from 49152 elsewhere.
const firstPort = 20_000;
const blockSize = 200;
const blocks = 60;

function listen(port: number): Promise<Server | undefined> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "EADDRINUSE") {
                resolve(undefined);
                return;
            }
            reject(error);
        });
        server.listen(port, host, () => resolve(server));
    });
}

/** Claims a block of ports for this process by listening on its first port until the process ends. */
async function claimBlock(): Promise<number> {
    for (let tried = 0; tried < blocks; tried++) {
        const first = firstPort + (process.pid + tried) % blocks * blockSize;
        const server = await listen(first);
        if (server !== undefined) {
            server.unref();
            return first;
        }
    }
    throw new Error(`All ${blocks} blocks of ports from ${firstPort} are claimed.`);
}

let claimed: Promise<number> | undefined;
let offset = 0;

/**
 * Finds ports on 127.0.0.1 that nothing listens on. Neither another process that calls this nor a socket whose port the
 * system assigns comes to use them, so a test may end a listener, find its port refusing and listen on it again.
 *
 * @param count - number of ports
 * @returns the ports
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const first = await (claimed ??= claimBlock());
    const ports: number[] = [];
    for (let tried = 0; ports.length < count; tried++) {
        if (tried === blockSize) {
            throw new Error(`The block of ports from ${first} has not ${count} free ones.`);
        }
        const port = first + 1 + offset++ % (blockSize - 1);
        const server = await listen(port);
        if (server !== undefined) {
            await new Promise(resolve => server.close(resolve));
            ports.push(port);
        }
    }
    return ports;
}
