import { err, ok } from "true-myth/result";
import { Agent, request } from "undici";
import type { LinkBudget, TransferDirection } from "../../src/node/agent/transfer/index.js";
import { createError, type Manifest, type OriginPort, type RandomSource } from "../../src/types/index.js";
import { createMemoryEngine, type MemoryEngine } from "../../test/support/memoryPorts.js";

/**
 * Creates an origin port that reads from the benchmark's origin process.
 *
 * @param port - HTTP port of the origin process
 * @returns the port
 */
export function createHttpOrigin(port: number): OriginPort {
    const dispatcher = new Agent({ connections: 16 });
    const address = `127.0.0.1:${port}`;
    const fail = (step: string, cause: unknown) =>
        err(createError("ORIGIN_UNREACHABLE", step, address, String(cause), { cause }));

    async function readManifest() {
        try {
            const answer = await request(`http://${address}/manifest`, { dispatcher });
            return ok(await answer.body.json() as Manifest);
        }
        catch (error) {
            return fail("read manifest", error);
        }
    }

    return {
        resolveManifest: readManifest,
        readManifest,
        readChunk: async (digest, index, signal) => {
            try {
                const answer = await request(`http://${address}/chunk/${index}`, {
                    dispatcher,
                    ...(signal === undefined ? {} : { signal }),
                });
                return ok(new Uint8Array(await answer.body.arrayBuffer()));
            }
            catch (error) {
                return fail(`read chunk ${index} of ${digest}`, error);
            }
        },
    };
}

/**
 * Creates an engine that corrupts a share of the chunks that are read for an upload.
 *
 * @param corruptShare - probability that a chunk is corrupted
 * @param random - source of randomness
 * @returns the engine
 */
export function createCorruptingEngine(corruptShare: number, random: RandomSource): MemoryEngine {
    const engine = createMemoryEngine();
    return {
        ...engine,
        readChunk: async (digest, index) => {
            const content = await engine.readChunk(digest, index);
            if (content.isErr || random.next() >= corruptShare) {
                return content;
            }
            const changed = Uint8Array.from(content.value);
            changed[0]! ^= 1;
            return ok(changed);
        },
    };
}

/**
 * Size of the packets between which the bytes of live requests are sent; a packet takes 2 ms on the link. A link
 * interleaves packets, not whole messages: a message of 4 KiB would occupy this slow link for 8 ms, as 1 MiB would
 * occupy a link of 125 MB/s.
 */
const packetBytes = 1_024;

async function takePackets(
    link: LinkBudget,
    direction: TransferDirection,
    bytes: number,
    signal: AbortSignal | undefined,
): Promise<boolean> {
    for (let offset = 0; offset < bytes; offset += packetBytes) {
        if (!await link.take(direction, Math.min(packetBytes, bytes - offset), signal)) {
            return false;
        }
    }
    return true;
}

/**
 * Combines the byte budget for transfers with the simulated link, which live requests also use.
 *
 * @param budget - budget for transfers
 * @param link - the instance's link
 * @param isStalled - true while the instance's outgoing link is stalled
 * @returns a budget that waits first for the transfer budget and then for the link
 */
export function chainBudgets(budget: LinkBudget, link: LinkBudget, isStalled: () => boolean): LinkBudget {
    return {
        take: async (direction, bytes, signal) => {
            if (direction === "outgoing" && isStalled()) {
                return await waitForAbort(signal);
            }
            return await budget.take(direction, bytes, signal) && await takePackets(link, direction, bytes, signal);
        },
        available: direction => budget.available(direction),
    };
}

function waitForAbort(signal: AbortSignal | undefined): Promise<false> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve(false);
        }
        signal?.addEventListener("abort", () => {
            resolve(false);
        }, { once: true });
    });
}
