import { randomBytes } from "node:crypto";
import type { RandomSource } from "../../../src/types/index.js";
import { between, pick } from "./seededChoice.js";
import { createServerRecord } from "./serverRecord.js";
import type { StoreStandIn } from "./storeStandIn.js";

/** Records that another writer adds together. */
interface OddRecords {
    readonly count: number;
    readonly create: (random: RandomSource) => Buffer;
}

const largestBytes = 260_000;

const kinds: readonly OddRecords[] = [
    { count: 12, create: random => randomBytes(between(random, 1_000, largestBytes)) },
    {
        count: 12,
        create: random => Buffer.from(JSON.stringify({ note: "x".repeat(between(random, 0, largestBytes)) })),
    },
    {
        count: 200,
        create: random =>
            Buffer.from(
                JSON.stringify(createServerRecord("127.0.0.1:1", { service: `odd-${between(random, 0, 50)}` })),
            ),
    },
    { count: 200, create: random => randomBytes(between(random, 1, 60)) },
];

const topics = ["keyed.servers", "keyed.goldcrestpoint-instances", "keyed.goldcrestpoint-condemned-requests"] as const;

/**
 * Adds records of another writer to one of the topics, under new keys or again under one of a few.
 *
 * @param store - store of the gateways
 * @param random - random source
 * @returns description of the records
 */
export function writeOddRecords(store: StoreStandIn, random: RandomSource): string {
    const topic = pick(random, topics);
    const { count, create } = pick(random, kinds);
    const keys = random.next() < 0.3 ? 3 : 100_000;
    for (let written = 0; written < count; written++) {
        store.writeBytes(topic, `odd-${between(random, 1, keys)}`, create(random));
    }
    return `${count} records of another writer in ${topic}`;
}
