import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { describe, it } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { FollowRequestSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import { createLossTracker } from "../../../src/node/crashes/index.js";
import type { EntryContext } from "../../../src/node/entry/context.js";
import { createEntryMetrics } from "../../../src/node/entry/entryMetrics.js";
import { recordHeartbeat } from "../../../src/node/entry/heartbeats.js";
import { createPlacementProposer } from "../../../src/node/entry/placementProposer.js";
import { createStateStore } from "../../../src/node/relay/index.js";
import { resolveEntrySettings } from "../../../src/node/settings/index.js";
import { createInstanceTable } from "../../../src/runtime/placement/index.js";
import {
    type AgentObservation,
    createError,
    type GoldcrestpointError,
    type InstanceRow,
    type LogRecord,
    type Offset,
} from "../../../src/types/index.js";
import { createManualClock, createSeededRandom, createTable } from "../../../src/utils/index.js";
import { silentLogger } from "../daemonSupport.js";
import { expectOk } from "../support.js";

type Append = Result<Offset, GoldcrestpointError>;

function createRow(instance: string, role: InstanceRow["role"]): InstanceRow {
    const pool = role === "entry" ? "entry" : "archive";
    return { instance, role, pool, zone: "a", region: "r", address: "", state: "live", absentReads: 0 };
}

/** Creates an entry instance with a configuration for one copy of a plain service, and a free instance for it. */
function createEntry(append: (record: LogRecord) => Append) {
    const clock = createManualClock();
    const store = createStateStore();
    const settings = expectOk(resolveEntrySettings({ file: undefined, environment: {}, flags: {} }));
    const appended: LogRecord[] = [];
    const context = {
        self: "entry-1",
        settings,
        clock,
        store,
        startedAt: 0,
        random: createSeededRandom(1),
        logger: silentLogger,
        decisions: { record: () => undefined },
        metrics: createEntryMetrics(clock),
        instances: createInstanceTable(),
        observations: createTable<string, AgentObservation>(),
        witnesses: createTable(),
        log: {
            append: (record: LogRecord) => {
                appended.push(record);
                return Promise.resolve(append(record));
            },
        },
    } as unknown as EntryContext;
    for (const row of [createRow("entry-1", "entry"), createRow("agent-1", "backend-server")]) {
        context.instances.set(row.instance, row);
    }
    const declaration = { schemaVersion: 1, kind: "service", replicas: { a: 1 } } as const;
    const header = { id: "c", deployment: "archive", base: 0, writtenAt: clock.now().toISOString(), writer: "cli" };
    store.applyEntries([{ offset: 1, previousOffset: 0, record: { ...header, kind: "configuration", declaration } }]);
    const proposer = createPlacementProposer(context);
    return {
        context,
        appended,
        /** Receives a heartbeat of the agent, records that the whole log was read if it was, and runs the proposer. */
        tick: async (isLogRead: boolean) => {
            clock.advance(5_000);
            recordHeartbeat(context, create(FollowRequestSchema, { instance: "agent-1", appliedOffset: 1n }));
            if (isLogRead) {
                store.recordLogKnown(clock.monotonic());
            }
            proposer.tick();
            await new Promise(resolve => setImmediate(resolve));
        },
    };
}

describe("placement proposer", () => {
    const createAppendError = (mayHaveTakenEffect: boolean): Append =>
        err(createError("APPEND_AMBIGUOUS", "append", "log", "lost", { mayHaveTakenEffect }));
    const cases: readonly [name: string, append: Append, whileUnread: number, afterRead: number][] = [
        ["an ambiguous append, only once the log was read", createAppendError(true), 1, 2],
        ["an append without effect, at once", createAppendError(false), 2, 3],
        ["an appended record, not before it is read back", ok(2), 1, 1],
    ];
    for (const [name, append, whileUnread, afterRead] of cases) {
        // Guards against a proposal that is appended again while its first append may still take effect.
        it(`proposes again after ${name}`, async () => {
            const entry = createEntry(() => append);
            await entry.tick(true);
            expect(entry.appended.length).toEqual(1);
            await entry.tick(false);
            expect(entry.appended.length).toEqual(whileUnread);
            await entry.tick(true);
            expect(entry.appended.length).toEqual(afterRead);
        });
    }

    // Guards against proposals that are based on an outdated state.
    it("proposes nothing if the log was never read or not recently", async () => {
        const entry = createEntry(() => ok(2));
        await entry.tick(false);
        entry.context.store.recordLogKnown(0);
        await entry.tick(false);
        await entry.tick(false);
        expect(entry.appended.length).toEqual(1);
    });
});

describe("loss tracker", () => {
    // Guards against a lost agent that counts as one crash per request, and two lost agents that count as one crash.
    it("groups requests whose connections to one agent broke within the window", () => {
        const clock = createManualClock();
        const losses = createLossTracker(clock);
        const ends = ["f", "g"].map(fingerprint => losses.begin("agent-1", fingerprint));
        const first = losses.recordLoss("agent-1", "f", false);
        ends[0]!();
        clock.advance(1_000);
        const second = losses.recordLoss("agent-1", "g", false);
        expect([first.crashId === second.crashId, first.fingerprints, second.fingerprints])
            .toEqual([true, ["f", "g"], ["f", "g"]]);
        expect(losses.recordLoss("agent-2", "f", true).crashId === first.crashId).toEqual(false);
        ends[1]!();
        clock.advance(1_001);
        const later = losses.recordLoss("agent-1", "h", true);
        expect([later.crashId === first.crashId, later.fingerprints, later.alone]).toEqual([false, ["h"], true]);
    });
});
