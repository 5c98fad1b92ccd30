import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { err, ok } from "true-myth/result";
import { startCondemnedRecordWriter } from "../../../src/node/gateway/crashes/condemnedRecords.js";
import { createCrashEvidenceStore } from "../../../src/node/gateway/crashes/crashEvidenceStore.js";
import { createRecordStore } from "../../../src/node/replica/index.js";
import { createError, type KeyedLogPort } from "../../../src/types/index.js";
import { createDisposalStack, createManualClock } from "../../../src/utils/index.js";
import { waitUntil } from "../../platform/standIn/deployment.js";

const logger = pino({ level: "silent" });
const topic = "condemned-requests";
const fingerprint = "9a4a";

describe("record of a condemned request", () => {
    // Guards against a write without a response that takes effect after the record was dropped.
    it("is dropped again if an earlier write takes effect after the request was cleared", async () => {
        const clock = createManualClock();
        const crashEvidence = createCrashEvidenceStore({
            options: {
                maximumCrashes: 3,
                maximumSuspects: 100,
                suspicionDuration: 60_000,
                condemnedDuration: 60_000,
                answerMemory: 60_000,
            },
            clock,
            logger,
        });
        const store = createRecordStore([topic], clock, logger);
        const puts: Uint8Array[] = [];
        let offset = 0;
        const apply = (value: Uint8Array) => {
            const record = { key: fingerprint, value: value.length === 0 ? undefined : value, offset: offset++ };
            const page = { records: [record], nextOffset: offset };
            store.receive({ topic, page, complete: false, age: 0, source: "log", peer: "log" });
        };
        const put: KeyedLogPort["put"] = (...[, , value]) => {
            puts.push(value);
            if (puts.length === 1) {
                return Promise.resolve(err(createError("APPEND_AMBIGUOUS", "write record", "log", "no response")));
            }
            apply(value);
            return Promise.resolve(ok(offset));
        };
        await using stack = createDisposalStack();
        stack.use(startCondemnedRecordWriter({
            crashEvidence,
            log: { put } as KeyedLogPort,
            store,
            clock,
            logger,
            condemnedDuration: 60_000,
            interval: 10,
        }));
        for (const crashId of ["i-1", "i-2", "i-3"]) {
            clock.advance(1_000);
            crashEvidence.recordObservedCrash({ crashId, service: "archive", fingerprints: [fingerprint] });
        }
        await waitUntil("the record is written", () => puts.length === 2);
        clock.advance(1_000);
        crashEvidence.recordAnswer(fingerprint);
        await waitUntil("the record is dropped", () => puts.length === 3);
        apply(puts[0]!);
        await waitUntil("the record is dropped again", () => puts.length === 4);
        expect(puts.map(value => value.length === 0)).toEqual([false, false, true, true]);
        expect(store.topic(topic).records.get(fingerprint)?.value).toEqual(undefined);
    });
});
