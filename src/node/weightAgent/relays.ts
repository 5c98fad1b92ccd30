import type { Logger } from "pino";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import { splitAddress } from "../httpServer/index.js";
import { listInstances, type RecordStore } from "../replica/index.js";
import type { WeightAgentSettings } from "../settings/index.js";

/** Time without a connected relay after which the agent reads the list of gateways directly from the log. */
const directReadDelay: Milliseconds = 1_000;

/**
 * Lists the gateways that an agent may follow: those of its own zone first, then those of its region, then the others,
 * and last the seeds.
 *
 * @param settings - zone and region of the agent, and port of the relays at seeds
 * @param store - records of the agent
 * @param seeds - addresses of instances that may run gateways
 * @returns `host:port` of each gateway
 */
export function listRelays(
    { gateway, instance }: WeightAgentSettings,
    store: RecordStore,
    seeds: readonly string[],
): readonly string[] {
    const rank = ({ region, zone }: { readonly region: string; readonly zone: string; }): number =>
        zone === instance.zone ? 0 : region === instance.region ? 1 : 2;
    const registered = [...listInstances(store)]
        .sort((left, right) => rank(left) - rank(right))
        .map(({ address }) => address);
    const seedRelays = seeds.map(address => `${splitAddress(address).host}:${gateway.relayPort}`);
    return [...new Set([...registered, ...seedRelays])];
}

/** Dependencies of {@link readGatewaysWhileDisconnected}. */
export interface GatewayReaderInput {
    readonly log: KeyedLogPort;
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Counts the relays that the agent is connected to. */
    readonly countConnected: () => number;
}

/**
 * Reads the list of gateways from the log while no relay is connected, since the seeds may no longer exist.
 *
 * @param input - log and records of the agent
 * @param signal - stops the reads
 */
export async function readGatewaysWhileDisconnected(input: GatewayReaderInput, signal: AbortSignal): Promise<void> {
    const { clock, countConnected, log, logger, random, store } = input;
    let disconnectedSince = clock.monotonic();
    while (!signal.aborted) {
        await sleep(directReadDelay * (0.5 + random.next()) / 4, signal);
        if (countConnected() > 0) {
            disconnectedSince = clock.monotonic();
            continue;
        }
        if (clock.monotonic() - disconnectedSince < directReadDelay) {
            continue;
        }
        disconnectedSince = clock.monotonic();
        const page = await log.readNewest("instances");
        if (page.isOk) {
            store.receive({ topic: "instances", page: page.value, complete: true, age: 0, source: "log", peer: "log" });
        }
        else {
            const { code, message, peer, step } = page.error;
            logger.warn({ code, step, peer, detail: message }, "gateways not read");
        }
    }
}
