import { createInstanceTable } from "../../src/runtime/placement/index.js";
import { createRunnerRow } from "../../src/runtime/routing/index.js";
import type { AgentObservation, CopyAssignment } from "../../src/types/index.js";
import { createTable } from "../../src/utils/index.js";
import { measureBytesPerRow } from "../decisions/measurement.js";
import type { CapacityFigure } from "./measurement.js";

const sizes = [10, 100, 1_000, 3_200];
/** Rows at each table size; small tables are created several times, so that they exceed the noise of the heap. */
const measuredRowCount = 32_000;

/** Copies a row through JSON, so that it shares no strings with other rows, like a row that arrives in a message. */
function parseCopy<Row>(row: Row): Row {
    return JSON.parse(JSON.stringify(row)) as Row;
}

function createInstances(size: number): unknown {
    const table = createInstanceTable();
    for (let index = 0; index < size; index++) {
        const row = { instance: `runner-${index}`, role: "backend-server", pool: "goldcrest-llm", zone: "dfw-hall-a" };
        table.set(
            row.instance,
            parseCopy({
                ...row,
                role: "backend-server" as const,
                region: "dallas",
                address: `10.0.3.7:${index}`,
                state: "live" as const,
                absentReads: 0,
            }),
        );
    }
    return table;
}

function createCopies(size: number): unknown {
    return [...Array(size).keys()].map(index =>
        parseCopy<CopyAssignment>({
            instance: `runner-${index}`,
            zone: "dfw-hall-a",
            epoch: 12_345,
            weights: { model: "goldcrest", adapter: "signs", version: "7", manifestDigest: "d".repeat(64) },
            state: "assigned",
            witnesses: ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5"],
        })
    );
}

function createObservations(size: number): unknown {
    const table = createTable<string, AgentObservation>();
    for (let index = 0; index < size; index++) {
        const instance = `runner-${index}`;
        table.set(
            instance,
            parseCopy({
                instance,
                incarnation: "0190aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee",
                heardAt: 1_000.5,
                appliedOffset: 12_345,
                draining: false,
                copies: [{
                    deployment: "goldcrest-llm",
                    epoch: 12_345,
                    version: "7",
                    manifestDigest: "d".repeat(64),
                    phase: "serving" as const,
                    chunksComplete: 640,
                    chunksTotal: 640,
                }],
            }),
        );
    }
    return table;
}

function createRunners(size: number): unknown {
    return [...Array(size).keys()].map(index => {
        const location = { instance: `runner-${index}`, zone: "dfw-hall-a", region: "dallas" };
        const row = createRunnerRow("goldcrest-llm", parseCopy(location));
        row.cachedPrefixes = new Set(
            [...Array(32).keys()].map(prefix => parseCopy(`${index}-${prefix}`.padEnd(16, "0"))),
        );
        return row;
    });
}

const tables = {
    "instance row": createInstances,
    "copy row": createCopies,
    "observation row": createObservations,
    "runner row with 32 prefixes": createRunners,
} as const;

/**
 * Measures the heap that a row of each table takes.
 *
 * @returns bytes for each row at 10, 100, 1,000 and 3,200 rows
 */
export function measureTableRows(): CapacityFigure[] {
    return Object.entries(tables).flatMap(([name, createFilledTable]) =>
        sizes.map(size => ({
            name: `${name}, table of ${size}`,
            value: measureBytesPerRow(
                measuredRowCount,
                () => [...Array(measuredRowCount / size).keys()].map(() => createFilledTable(size)),
            ),
            unit: "bytes",
        }))
    );
}
