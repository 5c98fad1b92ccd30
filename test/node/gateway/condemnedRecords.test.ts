import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { err, ok } from "true-myth/result";
import { startCondemnedRecordWriter } from "../../../src/node/gateway/crashes/condemnedRecords.js";
import { createCrashEvidenceStore } from "../../../src/node/gateway/crashes/crashEvidenceStore.js";
import { createRecordStore } from "../../../src/node/replica/index.js";
import { createError, type KeyedLogPort } from "../../../src/types/index.js";
import { createDisposalStack, createManualClock, type ManualClock, sleep } from "../../../src/utils/index.js";
import { waitUntil } from "../../platform/standIn/deployment.js";

const logger = pino({ level: "silent" });
const topic = "condemned-requests";
const fingerprint = "9a4a";

/** Crash evidence of a gateway. */
function createEvidence(clock: ManualClock) {
    return createCrashEvidenceStore({
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
}

describe("records of condemned requests of another writer", () => {
    // Guards against gateways that call the log, and hold those calls, as often as others write outdated records.
    it("are dropped by few calls at a time", async () => {
        const clock = createManualClock();
        const store = createRecordStore([topic], clock, logger);
        let open = 0;
        const put: KeyedLogPort["put"] = () => {
            open++;
            return new Promise(() => undefined);
        };
        await using stack = createDisposalStack();
        const crashEvidence = createEvidence(clock);
        const times = { condemnedDuration: 60_000, interval: 5 };
        stack.use(startCondemnedRecordWriter({
            crashEvidence,
            log: { put } as KeyedLogPort,
            store,
            clock,
            logger,
            ...times,
        }));
        const value = Buffer.from(JSON.stringify({ crashes: [], touchedAt: clock.now().getTime() - 100_000 }));
        const records = Array.from({ length: 1_500 }, (...[, offset]) => ({ key: `odd-${offset}`, value, offset }));
        const page = { records, nextOffset: records.length };
        store.receive({ topic, page, complete: false, age: 0, source: "log", peer: "log" });
        await waitUntil("records are dropped", () => open > 0);
        await sleep(50);
        expect(open).toEqual(16);
    });

    // Guards against evidence that grows with the number of crashes that a record states.
    it("count with their newest crashes", async () => {
        const clock = createManualClock();
        const store = createRecordStore([topic], clock, logger);
        await using stack = createDisposalStack();
        const crashEvidence = createEvidence(clock);
        const log = { put: () => Promise.resolve(ok(0)) } as unknown as KeyedLogPort;
        const times = { condemnedDuration: 60_000, interval: 5 };
        stack.use(startCondemnedRecordWriter({ crashEvidence, log, store, clock, logger, ...times }));
        const now = clock.now().getTime();
        const crashes = Array.from({ length: 300 }, (...[, index]) => ({ crashId: `c-${index}`, crashedAt: now }));
        const record = { key: fingerprint, value: Buffer.from(JSON.stringify({ crashes, touchedAt: now })), offset: 0 };
        const page = { records: [record], nextOffset: 1 };
        store.receive({ topic, page, complete: false, age: 0, source: "log", peer: "log" });
        expect(crashEvidence.listCrashes(fingerprint).length).toEqual(64);
        expect(crashEvidence.listCondemned()).toEqual([fingerprint]);
    });
});

describe("record of a condemned request", () => {
    // Guards against a write without a response that takes effect after the record was dropped.
    it("is dropped again if an earlier write takes effect after the request was cleared", async () => {
        const clock = createManualClock();
        const crashEvidence = createEvidence(clock);
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
            crashEvidence.recordObservedCrash({
                crashId,
                service: "archive",
                fingerprints: [fingerprint],
                events: new Map(),
            });
        }
        await waitUntil("the record is written", () => puts.length === 2);
        clock.advance(1_000);
        crashEvidence.recordAnswer([fingerprint]);
        await waitUntil("the record is dropped", () => puts.length === 3);
        apply(puts[0]!);
        await waitUntil("the record is dropped again", () => puts.length === 4);
        expect(puts.map(value => value.length === 0)).toEqual([false, false, true, true]);
        expect(store.topic(topic).records.get(fingerprint)?.value).toEqual(undefined);
    });
});
