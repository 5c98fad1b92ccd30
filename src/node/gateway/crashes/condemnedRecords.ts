import type { Logger } from "pino";
import * as z from "zod";
import type { SharedEvidence } from "../../../runtime/retry/index.js";
import type { Clock, Fingerprint, KeyedLogPort, KeyedRecord, Milliseconds } from "../../../types/index.js";
import type { RecordStore } from "../../replica/index.js";
import type { CrashEvidenceStore } from "./crashEvidenceStore.js";

const recordSchema = z.object({
    crashes: z.array(z.object({ crashId: z.string(), crashedAt: z.number().int() })),
    /** Unix time in milliseconds at which the request was last seen when the record was written. */
    touchedAt: z.number().int(),
});

/**
 * Maximum number of dropped records that are remembered, to drop them again if the log is restored from a backup; the
 * oldest are forgotten first.
 */
const maximumDroppedRecords = 1_000;
/** Number of records from which on no more of others are dropped; another gateway, or a later read, sees to them. */
const maximumKeptRecords = 1_000;
/** Maximum number of calls to the log at the same time, which others would otherwise decide by what they write. */
const maximumConcurrentWrites = 16;
/** Maximum number of crashes that are taken over from a record; a few condemn a request. */
const maximumCrashesOfRecord = 64;

/** Record of a condemned request. */
export type CondemnedRecord = z.infer<typeof recordSchema>;

/** Dependencies of {@link startCondemnedRecordWriter}. */
export interface CondemnedRecordsInput {
    readonly crashEvidence: CrashEvidenceStore;
    readonly log: KeyedLogPort;
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time for which a request stays condemned after it was last seen. */
    readonly condemnedDuration: Milliseconds;
    /** Time between two attempts to write a record. */
    readonly interval: Milliseconds;
}

/** Record that this gateway writes and drops. */
interface KeptRecord {
    /** Monotonic time of the last write; undefined if the current state is not written. */
    writtenAt: Milliseconds | undefined;
    writing: boolean;
}

/**
 * Reads a record of a condemned request.
 *
 * @param value - bytes of the record
 * @returns the record; undefined if it cannot be read
 */
export function readCondemnedRecord(value: Uint8Array): CondemnedRecord | undefined {
    try {
        return recordSchema.safeParse(JSON.parse(Buffer.from(value).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}

/**
 * Keeps the condemned requests in the platform's log, so that gateways that no other gateway reaches know them, and so
 * that they survive a restart of all gateways. A request is condemned if it is refused because it crashes backend
 * servers. A gateway that witnessed one of the crashes writes the record; it refreshes the record while the request is
 * condemned, and drops it afterwards.
 *
 * @param input - crash evidence, log and times
 * @returns the writer; disposing of it ends the writing
 */
export function startCondemnedRecordWriter(input: CondemnedRecordsInput): Disposable {
    const { clock, condemnedDuration, crashEvidence, log, logger, store } = input;
    const kept = new Map<Fingerprint, KeptRecord>();
    /** Records that this gateway has dropped. */
    const dropped = new Set<Fingerprint>();

    function toWallClock(at: Milliseconds): number {
        return Math.round(clock.now().getTime() - (clock.monotonic() - at));
    }

    function encode(fingerprint: Fingerprint): Buffer {
        const crashes = crashEvidence.listCrashes(fingerprint);
        const record: CondemnedRecord = {
            crashes: crashes.map(({ at, crashId }) => ({ crashId, crashedAt: toWallClock(at) })),
            touchedAt: toWallClock(Math.max(...crashes.map(({ touchedAt }) => touchedAt))),
        };
        return Buffer.from(JSON.stringify(record));
    }

    async function write(fingerprint: Fingerprint, row: KeptRecord, isCondemned: boolean): Promise<void> {
        row.writing = true;
        const value = isCondemned ? encode(fingerprint) : Buffer.alloc(0);
        const written = await log.put("condemned-requests", fingerprint, value);
        row.writing = false;
        if (written.isErr) {
            const { code, message, peer, step } = written.error;
            logger.warn({ fingerprint, code, step, peer, detail: message }, "condemned request not written");
            return;
        }
        row.writtenAt = clock.monotonic();
        if (!isCondemned) {
            kept.delete(fingerprint);
            dropped.add(fingerprint);
            if (dropped.size > maximumDroppedRecords) {
                dropped.delete(dropped.keys().next().value!);
            }
        }
        logger.info({ fingerprint, offset: written.value, condemned: isCondemned }, "condemned request written");
    }

    /** Notes that a record of the log has to be dropped. */
    function keep(fingerprint: Fingerprint): void {
        if (kept.has(fingerprint) || kept.size < maximumKeptRecords) {
            kept.set(fingerprint, { writtenAt: undefined, writing: false });
        }
    }

    function tick(): void {
        const condemned = new Set(crashEvidence.listCondemned());
        let free = maximumConcurrentWrites - [...kept.values()].filter(({ writing }) => writing).length;
        for (const [fingerprint, row] of kept) {
            const isCondemned = condemned.has(fingerprint);
            const isDue = row.writtenAt === undefined || clock.monotonic() - row.writtenAt > condemnedDuration / 2;
            if (free > 0 && !row.writing && (!isCondemned || isDue)) {
                free--;
                void write(fingerprint, row, isCondemned);
            }
        }
    }

    function receive({ key, offset, value }: KeyedRecord): void {
        if (value === undefined) {
            return;
        }
        const record = readCondemnedRecord(value);
        if (record === undefined) {
            logger.warn({ fingerprint: key, offset }, "condemned request cannot be read");
            return;
        }
        const now = clock.now().getTime();
        if (now - record.touchedAt > condemnedDuration) {
            keep(key);
            return;
        }
        const touchedAge = Math.max(0, now - record.touchedAt);
        const shared: SharedEvidence = {
            crashes: record.crashes.slice(-maximumCrashesOfRecord).map(({ crashedAt, crashId }) => ({
                crashId,
                fingerprints: [key],
                // Both times are the writer's, so the time between the crashes is kept if its clock differs.
                age: touchedAge + Math.max(0, record.touchedAt - crashedAt),
                touchedAge,
            })),
            answers: [],
        };
        crashEvidence.merge(shared, "log");
        // A write without a response may take effect after the record was dropped.
        if (dropped.has(key) && !crashEvidence.listCondemned().includes(key)) {
            keep(key);
        }
    }

    function isWritten(fingerprint: Fingerprint): boolean {
        return store.topic("condemned-requests").records.get(fingerprint)?.value !== undefined;
    }

    crashEvidence.onStandingChange(({ change, fingerprint, isWitness, source }) => {
        const shouldWrite = change === "condemned" && isWitness && !isWritten(fingerprint);
        const shouldDrop = change === "cleared" && source === "local" && isWritten(fingerprint);
        if (shouldWrite || shouldDrop) {
            kept.set(fingerprint, { writtenAt: undefined, writing: false });
            tick();
        }
    });
    store.onRestored(topic => {
        if (topic !== "condemned-requests") {
            return;
        }
        const { era, records } = store.topic(topic);
        for (const [fingerprint, { era: recordEra, value }] of records) {
            if (recordEra === era) {
                continue;
            }
            const row = kept.get(fingerprint);
            if (row !== undefined && value !== undefined) {
                row.writtenAt = undefined;
            }
            else if (dropped.has(fingerprint) && value === undefined) {
                keep(fingerprint);
            }
        }
        tick();
    });
    store.onChange((topic, records) => {
        if (topic === "condemned-requests") {
            records.forEach(receive);
        }
    });
    const timer = setInterval(tick, input.interval);
    return { [Symbol.dispose]: () => clearInterval(timer) };
}
