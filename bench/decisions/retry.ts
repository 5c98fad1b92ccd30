import {
    createRetryBudget,
    createSuspectTable,
    creditRequest,
    decideRetry,
    readStanding,
    reportCrash,
    resolveRetryOptions,
} from "../../src/runtime/retry/index.js";
import type { RequestRow } from "../../src/types/index.js";
import { measureBytesPerRow, type Measurement, summarizeCalls, timeCalls } from "./measurement.js";

const options = resolveRetryOptions();
const request: RequestRow = {
    requestId: "request",
    deployment: "scribe",
    clientAccount: "account",
    priority: 5,
    deadline: 1_000_000,
    receivedAt: 0,
    idempotent: true,
    idempotencyKey: undefined,
    fingerprint: "fingerprint",
    prefix: undefined,
};

function fillSuspects(): ReturnType<typeof createSuspectTable> {
    const table = createSuspectTable(options);
    for (let index = 0; index < options.maximumSuspects; index++) {
        reportCrash(table, [`fingerprint-${index}`, "neighbour"], 0);
    }
    return table;
}

/**
 * Measures the retry decision and the look-up in a suspect table that holds its maximum of 10,000 rows.
 *
 * @returns times of both, and bytes for each row of the suspect table
 */
export function measureRetry(): readonly Measurement[] {
    const budget = createRetryBudget(0, options);
    const table = fillSuspects();
    const decide = timeCalls(100_000, index => {
        creditRequest(budget, index, options);
        return decideRetry({
            request,
            refusal: { ran: "no", reason: "draining", retryAfterSeconds: 1 },
            backendServerCrashed: false,
            attempts: 1,
            answerBegun: false,
            standing: "clear",
            budget,
            now: index,
            options,
        });
    });
    const standing = timeCalls(100_000, index => readStanding(table, `fingerprint-${index % 20_000}`, 1));
    const bytes = measureBytesPerRow(options.maximumSuspects, fillSuspects);
    return [
        ...summarizeCalls("retry decision", decide),
        ...summarizeCalls("standing of a fingerprint among 10,000", standing),
        { name: "suspect row", value: bytes, unit: "bytes" },
    ];
}
