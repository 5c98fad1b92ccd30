import { expect } from "earl";
import { describe, it } from "node:test";
import {
    beginAfterTruncation,
    createFoldState,
    exportSnapshot,
    foldEntry,
    importSnapshot,
    listDueRecords,
} from "../../../src/runtime/state/index.js";
import type { FoldOutcome, FoldState } from "../../../src/runtime/state/index.js";
import type { ConfigurationRecord, ConfigurationRow, LogEntry, PlacementRecord } from "../../../src/types/index.js";
import { createWeights } from "../placement/simulatedFleet.js";

const hour = 3_600_000;

function createHeader(id: string, base: number, hours: number) {
    return { id, deployment: "scribe", base, writtenAt: new Date(hours * hour).toISOString(), writer: id };
}

function configure(id: string, base: number, hours = 0, extra: Partial<ConfigurationRecord> = {}): ConfigurationRecord {
    const declaration = {
        schemaVersion: 1,
        kind: "model",
        weights: createWeights("1"),
        replicas: { "zone-a": base + 1 },
    } as const;
    return { ...createHeader(id, base, hours), kind: "configuration", declaration, ...extra };
}

function place(id: string, base: number, hours = 0, extra: Partial<PlacementRecord> = {}): PlacementRecord {
    return {
        ...createHeader(id, base, hours),
        kind: "placement",
        configurationOffset: 1,
        copies: [],
        owners: [],
        ...extra,
    };
}

function createLog(...records: readonly LogEntry["record"][]): LogEntry[] {
    return records.map((record, index) => ({ offset: index + 1, previousOffset: index, record }));
}

function fold(entries: readonly LogEntry[], state: FoldState = createFoldState()): [FoldState, FoldOutcome[]] {
    return [state, entries.map(entry => foldEntry(state, entry))];
}

function foldTruncated(entries: readonly LogEntry[], firstOffset: number): [FoldState, FoldOutcome[]] {
    const state = createFoldState();
    beginAfterTruncation(state, firstOffset);
    return fold(entries.filter(({ offset }) => offset >= firstOffset), state);
}

describe("fold", () => {
    // Guards against a late, lost or repeated append that changes what was accepted.
    it("accepts a record only if its base is the newest accepted record of its chain", () => {
        const cases: {
            readonly name: string;
            readonly log: LogEntry["record"][];
            readonly outcomes: FoldOutcome[];
        }[] = [
            {
                name: "racing operators",
                log: [configure("a", 0), configure("b", 1), configure("c", 1), configure("d", 2)],
                outcomes: ["accepted", "accepted", "ignored-base", "accepted"],
            },
            {
                name: "repeated append",
                log: [configure("a", 0), configure("a", 0), configure("b", 1), configure("a", 0)],
                outcomes: ["accepted", "ignored-duplicate", "accepted", "ignored-duplicate"],
            },
            {
                name: "repeat of a record that was ignored",
                log: [configure("a", 0), configure("b", 0), configure("b", 0)],
                outcomes: ["accepted", "ignored-base", "ignored-base"],
            },
            {
                name: "chains are independent",
                log: [configure("a", 0), place("b", 0), configure("c", 1), place("d", 2), place("e", 3)],
                outcomes: ["accepted", "accepted", "accepted", "accepted", "ignored-base"],
            },
        ];
        for (const { name, log, outcomes } of cases) {
            expect([name, ...fold(createLog(...log))[1]]).toEqual([name, ...outcomes]);
        }
    });

    // Guards against losing records or applying them twice when a relay leaves out or repeats entries.
    it("applies entries only in the order of the log", () => {
        const [first, second, third] = createLog(configure("a", 0), configure("b", 1), configure("c", 2));
        const [state, outcomes] = fold([second!, first!, third!, first!, second!, third!]);
        expect(outcomes).toEqual(["out-of-order", "accepted", "out-of-order", "out-of-order", "accepted", "accepted"]);
        expect(state.configurations.get("scribe")!.offset).toEqual(3);
    });

    // Guards against an old writer that erases fields which only the new schema version defines.
    it("keeps the fields of version 2 when a record of version 1 follows", () => {
        const declaration = {
            ...configure("b", 1).declaration,
            schemaVersion: 2,
            objective: "origin-bytes",
            priority: 8,
            updateStrategy: "rolling",
        } as const;
        const [state] = fold(createLog(configure("a", 0), configure("b", 1, 0, { declaration }), configure("c", 2)));
        const { objective, priority, updateStrategy, schemaVersion, revision, replicas } = state.configurations.get(
            "scribe",
        )!;
        expect([objective, priority, updateStrategy]).toEqual(["origin-bytes", 8, "rolling"]);
        expect([schemaVersion, revision, replicas["zone-a"]]).toEqual([1, 3, 3]);
        const [plain] = fold(createLog(configure("a", 0)));
        const row = plain.configurations.get("scribe")!;
        expect([row.objective, row.priority, row.updateStrategy, row.pool]).toEqual(["time", 5, "in-place", "scribe"]);
    });

    // Guards against copies without a fencing token, and against tokens that change with each record.
    it("fills in epochs and revocation offsets once", () => {
        const copy = {
            instance: "r",
            zone: "z",
            epoch: 0,
            weights: undefined,
            state: "assigned",
            witnesses: [],
        } as const;
        const revoked = { ...copy, epoch: 1, state: "revoked", revokedAt: 0 } as const;
        const [state] = fold(createLog(place("a", 0, 0, { copies: [copy] }), configure("x", 0)));
        expect(state.placements.get("scribe")!.copies[0]!.epoch).toEqual(1);
        const second = { ...place("b", 1, 0, { copies: [revoked] }) };
        foldEntry(state, { offset: 3, previousOffset: 2, record: second });
        const row = state.placements.get("scribe")!;
        expect([row.copies[0]!.epoch, row.copies[0]!.revokedAt]).toEqual([1, 3]);
        foldEntry(state, { offset: 4, previousOffset: 3, record: place("c", 3, 0, { copies: row.copies }) });
        expect(state.placements.get("scribe")!.copies).toEqual(row.copies);
    });

    // Guards against accepting records after a truncation although they were ignored before it.
    it("accepts a record with an expired base only once a later record is based on it", () => {
        const refreshOf = { ...fold(createLog(configure("a", 0)))[0].configurations.get("scribe")!, revision: 7 };
        const stale: ConfigurationRow = { ...refreshOf, revision: 3 };
        const log = createLog(
            configure("a", 0),
            configure("b", 1),
            configure("c", 1, 0, { refreshOf: stale }),
            configure("d", 2, 0, { refreshOf }),
            configure("e", 4),
        );
        const [state, outcomes] = foldTruncated(log.slice(0, 4), 3);
        expect(outcomes).toEqual(["awaiting-confirmation", "awaiting-confirmation"]);
        expect(state.configurations.size).toEqual(0);
        const [copy] = [importSnapshot(exportSnapshot(state))].map(result => result.isOk ? result.value : undefined);
        for (const confirmed of [state, copy!]) {
            expect(foldEntry(confirmed, log[4]!)).toEqual("accepted");
            expect(confirmed.configurations.get("scribe")!.revision).toEqual(8);
            expect(confirmed.unresolved.size).toEqual(0);
        }
    });

    // Guards against configurations that lose their revision or stay unknown without need.
    it("recovers chains after a truncation without a peer", () => {
        const { declaration } = configure("", 0);
        const refreshOf = fold(createLog(configure("a", 0)))[0].configurations.get("scribe")!;
        const cases: {
            readonly name: string;
            readonly log: LogEntry[];
            readonly from: number;
            readonly revision?: number;
        }[] = [
            {
                name: "a change whose preceding row has expired waits for a refresh",
                log: createLog(configure("a", 0), configure("b", 1), configure("c", 2)),
                from: 2,
            },
            {
                name: "the refresh contains the row",
                log: createLog(
                    configure("a", 0),
                    configure("b", 1),
                    configure("c", 2, 0, { refreshOf }),
                    configure("d", 3),
                ),
                from: 2,
                revision: 2,
            },
            {
                name: "a placement confirms the configuration that it names",
                log: createLog(
                    configure("x", 0),
                    configure("c", 1, 0, { refreshOf }),
                    place("d", 0, 0, { configurationOffset: 2 }),
                ),
                from: 2,
                revision: 1,
            },
            {
                name: "a new deployment late in the retained window",
                log: createLog(place("x", 9), { ...place("y", 9), deployment: "other" }, configure("c", 0, 13)),
                from: 2,
                revision: 1,
            },
            {
                name: "a new deployment early in the retained window may hide an older one",
                log: createLog(place("x", 9), { ...place("y", 9), deployment: "other" }, configure("c", 0, 11)),
                from: 2,
            },
        ];
        expect(declaration.schemaVersion).toEqual(1);
        for (const { name, log, from, revision } of cases) {
            const [state] = foldTruncated(log, from);
            expect([name, state.configurations.get("scribe")?.revision]).toEqual([name, revision]);
        }
    });

    // Guards against a process that reverts rows or accepts a late record after it has missed entries.
    it("keeps its rows through a gap and accepts nothing that the missing entries may have superseded", () => {
        const log = createLog(configure("a", 0), configure("b", 1), configure("c", 1), configure("d", 2));
        const [state] = fold(log.slice(0, 1));
        beginAfterTruncation(state, 3);
        expect(fold(log.slice(2), state)[1]).toEqual(["awaiting-confirmation", "awaiting-confirmation"]);
        expect(state.configurations.get("scribe")!.offset).toEqual(1);
        const [complete] = fold(log.slice(0, 2));
        beginAfterTruncation(complete, 3);
        expect(fold(log.slice(2), complete)[1]).toEqual(["ignored-base", "accepted"]);
    });

    // Guards against a damaged snapshot, and against one that does not survive transport as JSON text.
    // Guards against a record of another writer that ends each process which reads the log.
    it("ignores a record from which no row can be derived, and accepts the next one", () => {
        const { declaration } = configure("x", 0);
        const malformed: readonly object[] = [
            { ...place("x", 1), copies: undefined },
            { ...place("x", 1), copies: [undefined] },
            { ...place("x", 1), copies: [{ instance: "i-1" }] },
            { ...place("x", 1), owners: {} },
            { ...place("x", 1), nextOwners: [7] },
            { ...configure("x", 1), declaration: undefined },
            { ...configure("x", 1), declaration: { ...declaration, replicas: undefined } },
            { ...configure("x", 1), declaration: { ...declaration, weights: "1" } },
            { ...configure("x", 1), refreshOf: [] },
            { ...configure("x", 1), kind: "__proto__" },
        ];
        for (const record of malformed) {
            const log = createLog(configure("a", 0), record as LogEntry["record"], configure("b", 1));
            const [state, outcomes] = fold(log);
            expect(outcomes).toEqual(["accepted", "ignored-malformed", "accepted"]);
            expect([state.appliedOffset, state.placements.size]).toEqual([3, 0]);
        }
    });

    it("imports a snapshot only with the right digest", () => {
        const [state] = fold(createLog(configure("a", 0), place("b", 0)));
        const snapshot = JSON.parse(JSON.stringify(exportSnapshot(state))) as ReturnType<typeof exportSnapshot>;
        const imported = importSnapshot(snapshot);
        expect(imported.isOk && exportSnapshot(imported.value)).toEqual(exportSnapshot(state));
        const damaged = importSnapshot({ ...snapshot, appliedOffset: 3 });
        expect(damaged.isErr && damaged.error.code).toEqual("PEER_UNREACHABLE");
    });

    // Guards against rows that expire, and against refreshes that cause each other without end.
    it("lists a refresh at half of the retention and its confirmation right after it", () => {
        const [state] = fold(createLog(configure("a", 0, 0)));
        const read = (hours: number) => listDueRecords(state, new Date(hours * hour), 24 * hour).map(due => due.reason);
        const append = (hours: number, refreshes = true) => {
            const row = state.configurations.get("scribe")!;
            const record = configure(`at-${hours}`, row.offset, hours, refreshes ? { refreshOf: row } : {});
            const { appliedOffset } = state;
            foldEntry(state, { offset: appliedOffset + 1, previousOffset: appliedOffset, record });
        };
        expect([read(11), read(12)]).toEqual([[], ["refresh"]]);
        append(12);
        expect(read(12)).toEqual(["confirmation"]);
        append(12.1);
        expect(read(23)).toEqual([]);
        for (let hours = 13; hours < 25; hours++) {
            append(hours, false);
        }
        expect(read(24.2)).toEqual(["confirmation"]);
    });
});
