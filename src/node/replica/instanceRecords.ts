import type { Logger } from "pino";
import { z } from "zod";
import type { KeyedLogPort, KeyedRecord, Milliseconds, RandomSource } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import type { RecordStore } from "./recordStore.js";

const instanceSchema = z.object({
    address: z.string(),
    zone: z.string(),
    region: z.string(),
    startedAt: z.number(),
});

/** Gateway as it registers itself for the others. */
export type InstanceRecord = z.infer<typeof instanceSchema>;

/** Gateway with its instance identifier. */
export interface KnownInstance extends InstanceRecord {
    readonly instance: string;
}

function readInstance({ key, value }: KeyedRecord): KnownInstance | undefined {
    try {
        const record = instanceSchema.safeParse(JSON.parse(Buffer.from(value ?? []).toString("utf8")));
        return record.success ? { ...record.data, instance: key } : undefined;
    }
    catch {
        return undefined;
    }
}

/**
 * Lists the gateways that have registered themselves.
 *
 * @param store - records of this process
 * @returns the gateways, by instance
 */
export function listInstances(store: RecordStore): readonly KnownInstance[] {
    return [...store.topic("instances").records.values()]
        .flatMap(record => readInstance(record) ?? [])
        .sort((left, right) => left.instance < right.instance ? -1 : 1);
}

/** Longest delay between two attempts to register. */
const longestRetry: Milliseconds = 2_000;
const firstRetry: Milliseconds = 150;
/** Time to wait for the registered instances, since a record of an earlier start may say the same. */
const longestWait: Milliseconds = 600;

/**
 * Registers a gateway, so that the other processes find it. A record that says the same stays as it is.
 *
 * @param log - the platform's log
 * @param store - records of this process
 * @param instance - the gateway
 * @param random - for the delay between attempts
 * @param logger - writes failed attempts
 * @param signal - ends the attempts
 */
export async function registerInstance(
    log: KeyedLogPort,
    store: RecordStore,
    instance: KnownInstance,
    random: RandomSource,
    logger: Logger,
    signal: AbortSignal,
): Promise<void> {
    const { address, region, startedAt, zone } = instance;
    for (
        let waited = 0;
        store.topic("instances").currentAt === undefined && waited < longestWait;
        waited += firstRetry
    ) {
        await sleep(firstRetry, signal);
    }
    for (let attempt = 0; !signal.aborted; attempt++) {
        const known = listInstances(store).find(row => row.instance === instance.instance);
        if (known?.address === address) {
            return;
        }
        const value = Buffer.from(JSON.stringify({ address, zone, region, startedAt }));
        const written = await log.put("instances", instance.instance, value);
        if (written.isOk) {
            logger.info({ offset: written.value, attempt }, "instance registered");
            return;
        }
        const { code, message, peer, step } = written.error;
        logger.warn({ code, step, peer, detail: message, attempt }, "instance not registered");
        await sleep(Math.min(longestRetry, firstRetry * 2 ** attempt) * (0.5 + random.next()), signal);
    }
}
