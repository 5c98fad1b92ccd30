import {
    createInstanceTable,
    createProposerMemory,
    resolvePlacementOptions,
    runProposer,
} from "../../src/runtime/placement/index.js";
import type { ProposerInput } from "../../src/runtime/placement/index.js";
import { createFoldState, foldEntry } from "../../src/runtime/state/index.js";
import type { FoldState } from "../../src/runtime/state/index.js";
import type {
    AgentObservation,
    ConfigurationRecord,
    CopyAssignment,
    InstanceRow,
    LogRecord,
    PlacementRecord,
} from "../../src/types/index.js";
import { createManualClock, createSeededRandom, createTable } from "../../src/utils/index.js";
import type { ManualClock } from "../../src/utils/index.js";
import { measureBytesPerRow, type Measurement } from "./measurement.js";

const zoneCount = 10;
const deploymentCount = 8;
const runnerCount = 3_200;
const entryCount = 360;
const repetitions = 15;
const foldedRecordCount = 100_000;
const writtenAt = "2026-01-01T00:00:00.000Z";
const weights = { model: "goldcrest-llm", adapter: "", version: "1", manifestDigest: "0".repeat(64) };

/**
 * Measures a tick of the proposer at the design size, the fold of log records into the state, and table rows.
 *
 * @returns times, most of them medians, and bytes for each row of the tables
 */
export function measureState(): readonly Measurement[] {
    return [...measureProposer(), measureFold(), ...measureRows()];
}

interface Fleet {
    readonly input: ProposerInput;
    readonly clock: ManualClock;
}

function createFleet(): Fleet {
    const clock = createManualClock();
    clock.advance(60_000);
    const instances = createInstanceTable();
    for (let index = 0; index < entryCount; index++) {
        instances.set(`entry-${index}`, createInstance(`entry-${index}`, "entry", "entry", index % zoneCount));
    }
    const state = createFoldState();
    const zones = [...Array(zoneCount).keys()].map(zone => [`zone-${zone}`, 36] as const);
    for (let deployment = 0; deployment < deploymentCount; deployment++) {
        append(state, createConfiguration(`deployment-${deployment}`, 0, Object.fromEntries(zones)));
        for (let index = 0; index < runnerCount / deploymentCount; index++) {
            const instance = `runner-${deployment}-${index}`;
            const row = createInstance(instance, "backend-server", `deployment-${deployment}`, index % zoneCount);
            instances.set(instance, row);
        }
    }
    const observations = createTable<string, AgentObservation>();
    const input: ProposerInput = {
        self: "entry-0",
        state,
        instances,
        observations,
        witnesses: createTable(),
        memory: createProposerMemory(),
        clock,
        random: createSeededRandom(1),
        options: resolvePlacementOptions({ rankDelay: 0 }),
    };
    updateObservations(input);
    return { input, clock };
}

function createInstance(
    instance: string,
    role: InstanceRow["role"],
    pool: string,
    zone: number,
): InstanceRow {
    return {
        instance,
        role,
        pool,
        zone: `zone-${zone}`,
        region: `region-${zone >> 1}`,
        address: "127.0.0.1:1",
        state: "live",
        absentReads: 0,
    };
}

/** Updates the observations as if each agent had just sent a heartbeat, with all of its copies serving. */
function updateObservations({ instances, observations, state, clock }: ProposerInput): void {
    for (const { instance, role } of instances.rows()) {
        if (role === "backend-server") {
            const heardAt = clock.monotonic();
            const base = { incarnation: "1", appliedOffset: state.appliedOffset, draining: false, copies: [] };
            observations.set(instance, { ...base, instance, heardAt });
        }
    }
    for (const { deployment, copies } of state.placements.rows()) {
        for (const { instance, epoch } of copies) {
            const { version, manifestDigest } = weights;
            const report = { deployment, epoch, version, manifestDigest, phase: "serving" } as const;
            const observation = observations.get(instance)!;
            observations.set(instance, { ...observation, copies: [{ ...report, chunksComplete: 1, chunksTotal: 1 }] });
        }
    }
}

function measureProposer(): Measurement[] {
    const times: Record<"first" | "steady" | "replacing", number[]> = { first: [], steady: [], replacing: [] };
    for (let repetition = 0; repetition < repetitions; repetition++) {
        const { input, clock } = createFleet();
        times.first.push(measureMilliseconds(() => applyCommands(input)));
        for (let round = 0; round < 4; round++) {
            clock.advance(1_000);
            updateObservations(input);
            applyCommands(input);
        }
        clock.advance(1_000);
        times.steady.push(measureMilliseconds(() => applyCommands(input)));
        for (let index = 0; index < 80; index++) {
            const row = input.instances.get(`runner-${index % deploymentCount}-${index}`)!;
            input.instances.set(row.instance, { ...row, state: "leaving" });
        }
        clock.advance(1_000);
        times.replacing.push(measureMilliseconds(() => applyCommands(input)));
    }
    const ranked = measureRankedTick();
    return [
        {
            name: "proposer tick, first placement of 2,880 copies",
            value: median(times.first),
            unit: "milliseconds",
            target: 50,
        },
        {
            name: "proposer tick, 3,200 runners, no change",
            value: median(times.steady),
            unit: "milliseconds",
            target: 50,
        },
        {
            name: "proposer tick, 80 instances leaving",
            value: median(times.replacing),
            unit: "milliseconds",
            target: 50,
        },
        { name: "proposer tick at the default rank delay, mean of 120", value: ranked, unit: "milliseconds" },
    ];
}

/**
 * Measures the mean tick of one of 360 entry instances at the default rank delay. It ranks early among the proposers of
 * few deployments only.
 */
function measureRankedTick(): number {
    const { input, clock } = createFleet();
    const ticks = 120;
    for (let round = 0; round < 4; round++) {
        clock.advance(1_000);
        applyCommands(input);
        updateObservations(input);
    }
    const ranked = { ...input, memory: createProposerMemory(), options: resolvePlacementOptions() };
    let elapsed = 0;
    for (let tick = 0; tick < ticks; tick++) {
        clock.advance(1_000);
        updateObservations(ranked);
        elapsed += measureMilliseconds(() => applyCommands(ranked));
    }
    return elapsed / ticks;
}

function applyCommands(input: ProposerInput): void {
    for (const command of runProposer(input)) {
        append(input.state, command.record);
    }
}

function append(state: FoldState, record: LogRecord): void {
    foldEntry(state, { offset: state.appliedOffset + 1, previousOffset: state.appliedOffset, record });
}

function createConfiguration(
    deployment: string,
    base: number,
    replicas: Readonly<Record<string, number>>,
): ConfigurationRecord {
    return {
        id: `${deployment}/${base}`,
        kind: "configuration",
        deployment,
        base,
        writtenAt,
        writer: "operator",
        declaration: {
            schemaVersion: 2,
            kind: "model",
            weights,
            replicas,
            objective: "time",
            priority: 5,
            updateStrategy: "in-place",
        },
    };
}

function createPlacement(deployment: string, base: number, size: number): PlacementRecord {
    const copies = [...Array(size).keys()].map((index): CopyAssignment => ({
        instance: `runner-${index}`,
        zone: "zone-0",
        epoch: index < size / 2 ? 1 : 0,
        weights,
        state: "assigned",
        witnesses: ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4"],
    }));
    const header = { id: `${deployment}/placement/${base}`, deployment, base, writtenAt, writer: "entry-0" };
    return { ...header, kind: "placement", configurationOffset: 1, copies, owners: [] };
}

function measureFold(): Measurement {
    const records: LogRecord[] = [];
    const bases = new Map<string, number>();
    for (let index = 0; index < foldedRecordCount; index++) {
        const deployment = `deployment-${index % 50}`;
        const chain = `${index % 3 === 0 ? "configuration" : "placement"}/${deployment}`;
        const base = bases.get(chain) ?? 0;
        records.push(
            index % 3 === 0 ? createConfiguration(deployment, base, {}) : createPlacement(deployment, base, 40),
        );
        bases.set(chain, index + 1);
    }
    const state = createFoldState();
    const elapsed = measureMilliseconds(() => records.forEach(record => append(state, record)));
    return { name: "fold of 100,000 records, 40 copies each", value: elapsed, unit: "milliseconds" };
}

function measureRows(): Measurement[] {
    const zones = { "zone-0": 36, "zone-1": 36 };
    return [
        measureTable("configuration", 2_000, index => {
            const state = createFoldState();
            append(state, createConfiguration(`deployment-${index}`, 0, { ...zones }));
            return state.configurations.get(`deployment-${index}`);
        }),
        measureTable("placement with 100 copies", 200, index => {
            const state = createFoldState();
            append(state, createPlacement(`deployment-${index}`, 0, 100));
            return state.placements.get(`deployment-${index}`);
        }),
        measureTable(
            "instance",
            20_000,
            index => createInstance(`runner-${index}`, "backend-server", "scribe", index % zoneCount),
        ),
        measureTable("agent observation", 20_000, index => ({
            instance: `runner-${index}`,
            incarnation: `incarnation-${index}`,
            heardAt: index + 0.5,
            appliedOffset: index,
            draining: false,
            copies: [{ deployment: "scribe", epoch: index, version: "1", manifestDigest: "0", phase: "serving" }],
        })),
        measureTable("witness observation", 20_000, index => ({
            instance: `entry-${index}`,
            heardAt: index + 0.5,
            appliedOffset: index,
            uptime: index + 0.25,
        })),
    ];
}

function measureTable(name: string, size: number, createRow: (index: number) => unknown): Measurement {
    const value = measureBytesPerRow(size, () => {
        const table = createTable<string, unknown>();
        for (let index = 0; index < size; index++) {
            table.set(`key-${index}`, createRow(index));
        }
        return table;
    });
    return { name: `table row: ${name}`, value: Math.round(value), unit: "bytes" };
}

function measureMilliseconds(run: () => void): number {
    const start = process.hrtime.bigint();
    run();
    return Number(process.hrtime.bigint() - start) / 1e6;
}

function median(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]!;
}
