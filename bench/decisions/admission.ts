import {
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
} from "../../src/runtime/admission/index.js";
import type { RequestRow } from "../../src/types/index.js";
import { createSeededRandom } from "../../src/utils/index.js";
import { measureBytesPerRow, type Measurement, summarizeCalls, timeCalls } from "./measurement.js";

const accountCount = 10;

function createRequest(index: number, priority: number, now: number): RequestRow {
    return {
        requestId: `request-${index}`,
        deployment: "scribe",
        clientAccount: `account-${index % accountCount}`,
        priority,
        deadline: now + 60_000 + index % 1_000,
        receivedAt: now,
        idempotent: true,
        idempotencyKey: undefined,
        fingerprint: `fingerprint-${index}`,
        prefix: undefined,
    };
}

/**
 * Measures admission with 256 requests in progress and a full queue of 512.
 *
 * @param seed - seed of the priorities
 * @returns times of an offer, a finished request and an expiry tick, and bytes for a queued request
 */
export function measureAdmission(seed: number): readonly Measurement[] {
    const random = createSeededRandom(seed);
    const table = createAdmissionTable(resolveAdmissionOptions());
    let created = 0;
    const create = (now: number) => createRequest(created++, Math.floor(random.next() * 10), now);
    while (table.queued.size < table.options.maximumQueued) {
        offerRequest(table, create(0), 0);
    }
    const offer = timeCalls(20_000, () => offerRequest(table, create(1), 1));
    const finish = timeCalls(20_000, index => {
        const [requestId] = table.inProgress.keys();
        const progress = finishRequest(table, requestId!, index);
        offerRequest(table, create(index), index);
        return progress;
    });
    const expire = timeCalls(2_000, () => expireRequests(table, 1));
    const rows = 20_000;
    const bytes = measureBytesPerRow(rows, () => {
        const filled = createAdmissionTable(resolveAdmissionOptions({ maximumQueued: 2 * rows }));
        for (let index = 0; index < rows; index++) {
            const request = createRequest(index, 5, 0);
            filled.queued.set(request.requestId, request);
        }
        return filled;
    });
    return [
        ...summarizeCalls("admission, offer to a full queue of 512", offer),
        ...summarizeCalls("admission, finish and offer with a queue of 512", finish),
        ...summarizeCalls("admission, expiry tick with a queue of 512", expire),
        { name: "queued request row", value: bytes, unit: "bytes" },
    ];
}
