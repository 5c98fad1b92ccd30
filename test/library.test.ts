import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type AgentObservation,
    type ConfigurationRecord,
    createFoldState,
    createInstanceTable,
    createManualClock,
    createProposerMemory,
    createSeededRandom,
    createTable,
    foldEntry,
    type LogRecord,
    mergeInstanceList,
    resolvePlacementOptions,
    runProposer,
} from "../src/index.js";

describe("the package as a library", () => {
    // Guards against decisions that another program cannot drive with its own events and time.
    it("derives a placement from a configuration without a daemon", () => {
        const clock = createManualClock();
        const state = createFoldState();
        const instances = createInstanceTable();
        const row = { zone: "pos-hall", region: "north-tt", state: "live" } as const;
        mergeInstanceList(instances, [
            { ...row, instance: "entry-0", role: "entry", pool: "entry", address: "127.0.0.1:1" },
            { ...row, instance: "runner-0", role: "backend-server", pool: "members", address: "127.0.0.1:2" },
        ]);
        const append = (record: LogRecord): void => {
            foldEntry(state, { offset: state.appliedOffset + 1, previousOffset: state.appliedOffset, record });
        };
        const configuration: ConfigurationRecord = {
            id: "0198c0de-0000-7000-8000-000000000000",
            kind: "configuration",
            deployment: "members",
            base: 0,
            writtenAt: clock.now().toISOString(),
            writer: "operator",
            declaration: { schemaVersion: 1, kind: "service", replicas: { "pos-hall": 1 } },
        };
        append(configuration);
        const observations = createTable<string, AgentObservation>();
        const memory = createProposerMemory();
        for (let tick = 0; tick < 30 && !state.placements.has("members"); tick++) {
            observations.set("runner-0", {
                instance: "runner-0",
                incarnation: "1",
                heardAt: clock.monotonic(),
                appliedOffset: state.appliedOffset,
                draining: false,
                copies: [],
            });
            const commands = runProposer({
                self: "entry-0",
                state,
                instances,
                observations,
                witnesses: createTable(),
                memory,
                clock,
                random: createSeededRandom(1),
                options: resolvePlacementOptions({}),
            });
            commands.forEach(({ record }) => append(record));
            clock.advance(1_000);
        }
        expect(state.placements.get("members")?.copies.map(({ instance }) => instance)).toEqual(["runner-0"]);
    });
});
