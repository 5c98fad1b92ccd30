import { createServer, type Server } from "node:net";

const host = "127.0.0.1";
// Below the ports that systems assign to sockets by themselves, from 32768 on Linux and from 49152 elsewhere.
const firstPort = 12_000;
const blockSize = 200;
const blocks = 100;
/** Ports of a block but its first. */
const usedOfBlock = blockSize - 1;

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
    while (triedBlocks < blocks) {
        const first = firstPort + (process.pid + triedBlocks++) % blocks * blockSize;
        const server = await listen(first);
        if (server !== undefined) {
            server.unref();
            claimedBlocks.push(first);
            return;
        }
    }
    if (claimedBlocks.length === 0) {
        throw new Error(`All ${blocks} blocks of ports from ${firstPort} are claimed.`);
    }
}

let nextPort = 0;

/** Takes each port once, and begins again when no block is left. */
async function takePort(): Promise<number> {
    const index = nextPort++;
    const block = Math.floor(index / usedOfBlock);
    if (block >= claimedBlocks.length) {
        await claimBlock();
    }
    return claimedBlocks[block % claimedBlocks.length]! + 1 + index % usedOfBlock;
}

async function findPorts(count: number): Promise<number[]> {
    const found: number[] = [];
    for (let tried = 0; found.length < count; tried++) {
        if (tried === blocks * blockSize) {
            throw new Error(`Fewer than ${count} ports from ${firstPort} are free.`);
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

let last: Promise<unknown> = Promise.resolve();

/**
 * Finds ports on 127.0.0.1 that nothing listens on. Neither another process that calls this nor a socket whose port the
 * system assigns comes to use them, so a test may end a listener, find its port refusing and listen on it again.
 *
 * @param count - number of ports
 * @returns the ports; rejects if too few are left
 */
export function findFreePorts(count: number): Promise<number[]> {
    const result = last.then(() => findPorts(count));
    last = result.catch(() => undefined);
    return result;
}
