import { createServer, type Server } from "node:net";

const host = "127.0.0.1";
// All blocks lie below the ephemeral ports, which begin at 32768 on Linux and at 49152 on other systems.
const firstPort = 12_000;
const portsPerBlock = 200;
const portBlockCount = 100;
/** The first port of a block marks the block as claimed. */
const usablePortsPerBlock = portsPerBlock - 1;

/** Listens on a port; resolves to undefined if the port is in use. */
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

let triedBlocks = 0;
const claimedBlocks: number[] = [];

/** Claims a block of ports for this process by listening on its first port until the process ends. */
async function claimBlock(): Promise<void> {
    while (triedBlocks < portBlockCount) {
        const first = firstPort + (process.pid + triedBlocks++) % portBlockCount * portsPerBlock;
        const server = await listen(first);
        if (server !== undefined) {
            server.unref();
            claimedBlocks.push(first);
            return;
        }
    }
    if (claimedBlocks.length === 0) {
        throw new Error(`all ${portBlockCount} blocks of ports from port ${firstPort} are claimed by other processes`);
    }
}

let nextPort = 0;

/** Returns the next port of the claimed blocks; starts over once no further block can be claimed. */
async function takePort(): Promise<number> {
    const index = nextPort++;
    const block = Math.floor(index / usablePortsPerBlock);
    if (block >= claimedBlocks.length) {
        await claimBlock();
    }
    return claimedBlocks[block % claimedBlocks.length]! + 1 + index % usablePortsPerBlock;
}

async function findPorts(count: number): Promise<number[]> {
    const found: number[] = [];
    for (let tried = 0; found.length < count; tried++) {
        if (tried === portBlockCount * portsPerBlock) {
            throw new Error(`fewer than ${count} ports from port ${firstPort} are free`);
        }
        const port = await takePort();
        const server = await listen(port);
        if (server !== undefined) {
            await new Promise(resolve => server.close(resolve));
            found.push(port);
        }
    }
    return found;
}

let lastSearch: Promise<unknown> = Promise.resolve();

/**
 * Finds ports on 127.0.0.1 that nothing listens on. They are not returned to another process that calls this function,
 * and the system does not assign them to sockets. A test can therefore close a listener, rely on connections to its
 * port being refused, and listen on the port again.
 *
 * @param count - number of ports
 * @returns the ports; rejects if too few are free
 */
export function findFreePorts(count: number): Promise<number[]> {
    const result = lastSearch.then(() => findPorts(count));
    lastSearch = result.catch(() => undefined);
    return result;
}
