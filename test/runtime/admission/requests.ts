import type { RequestRow } from "../../../src/types/index.js";

let sequence = 0;

export function createRequest(changes: Partial<RequestRow> = {}): RequestRow {
    sequence += 1;
    return {
        requestId: `request-${sequence}`,
        deployment: "scribe",
        clientAccount: "account",
        priority: 5,
        deadline: 10_000,
        receivedAt: 0,
        idempotent: true,
        idempotencyKey: undefined,
        fingerprint: `fingerprint-${sequence}`,
        prefix: undefined,
        ...changes,
    };
}
