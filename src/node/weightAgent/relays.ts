import type { Logger } from "pino";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../types/index.js";
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

/** Dependencies of {@link createDirectGatewayReader}. */
export interface GatewayReaderInput {
    readonly log: KeyedLogPort;
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}

/**
 * Creates the reader of the list of gateways from the log, for the time in which no relay is connected, since the seeds
 * may no longer exist.
 *
 * @param input - log and records of the agent
 * @returns function to be called at short intervals with the number of connected relays; it starts a read that is due
 */
export function createDirectGatewayReader(input: GatewayReaderInput): (connected: number) => void {
    const { clock, log, logger, random, store } = input;
    let isReading = false;
    let readDueAt: Milliseconds | undefined;

    async function read(): Promise<void> {
        const page = await log.readNewest("instances");
        if (page.isOk) {
            store.receive({ topic: "instances", page: page.value, complete: true, age: 0, source: "log", peer: "log" });
        }
        else {
            const { code, message, peer, step } = page.error;
            logger.warn({ code, step, peer, detail: message }, "gateways not read");
        }
    }

    return connected => {
        const now = clock.monotonic();
        if (connected > 0) {
            readDueAt = undefined;
            return;
        }
        // The jitter spreads the reads of agents that lost their relays at the same moment.
        readDueAt ??= now + directReadDelay * (1 + random.next() / 4);
        if (isReading || now < readDueAt) {
            return;
        }
        isReading = true;
        readDueAt = undefined;
        void read().finally(() => {
            isReading = false;
        });
    };
}
