import {
    createIdempotencyKey,
    createLedger,
    createOwnershipHistory,
    offerKey,
    recordOwners,
    resolveKeyOwner,
    resolveLedgerOptions,
} from "../../src/runtime/idempotency/index.js";
import { createSeededRandom } from "../../src/utils/index.js";
import { measureBytesPerRow, type Measurement, summarizeCalls, timeCalls } from "./measurement.js";

const start = 1_800_000_000_000;
const body = { clientAccount: "account", bodyDigest: "body", held: true };

function listOwners(count: number): string[] {
    return [...Array(count).keys()].map(index => `agent-${index}`);
}

/** Creates an ownership history that changes once a second for 20 s, as repeated restarts of the newest owner cause. */
function createHistory(count: number): ReturnType<typeof createOwnershipHistory> {
    const history = createOwnershipHistory("agent-0", start);
    const owners = listOwners(count);
    for (let offset = 1; offset <= 20; offset++) {
        const nextOwners = offset % 2 === 0 ? owners : undefined;
        const writtenAt = new Date(start + offset * 1_000).toISOString();
        const row = {
            deployment: "members",
            offset,
            configurationOffset: 1,
            writtenAt,
            copies: [],
            owners,
            nextOwners,
        };
        recordOwners(history, row, start + offset * 1_000);
    }
    return history;
}

/**
 * Measures how long it takes to find the owner of a key and to decide on a key, with 10 and 430 owners.
 *
 * @param seed - seed of the keys
 * @returns times of both, and bytes for each row of the ledger
 */
export function measureIdempotency(seed: number): readonly Measurement[] {
    const random = createSeededRandom(seed);
    const measurements: Measurement[] = [];
    for (const count of [10, 430]) {
        const history = createHistory(count);
        const ledger = createLedger(resolveLedgerOptions());
        const keys = [...Array(20_000).keys()].map(() => createIdempotencyKey(start + 30_000, random));
        const owners = listOwners(count);
        const resolve = timeCalls(20_000, index => resolveKeyOwner(owners, keys[index]!));
        const offer = timeCalls(
            20_000,
            index => offerKey(ledger, history, { ...body, key: keys[index]!, now: start + 30_000 }),
        );
        measurements.push(...summarizeCalls(`owner of a key among ${count}`, resolve));
        measurements.push(...summarizeCalls(`key decision with ${count} owners`, offer));
    }
    const rows = 50_000;
    const bytes = measureBytesPerRow(rows, () => {
        const ledger = createLedger(resolveLedgerOptions());
        const history = createHistory(1);
        for (let index = 0; index < rows; index++) {
            const key = createIdempotencyKey(start + 30_000, random);
            offerKey(ledger, history, { ...body, key, now: start + 30_000 });
        }
        return ledger;
    });
    return [...measurements, { name: "ledger row without an answer", value: bytes, unit: "bytes" }];
}
