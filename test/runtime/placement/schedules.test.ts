import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    beginAfterTruncation,
    createFoldState,
    exportSnapshot,
    foldEntry,
    importSnapshot,
} from "../../../src/runtime/state/index.js";
import type { FoldState } from "../../../src/runtime/state/index.js";
import type { LogRecord } from "../../../src/types/index.js";
import { createSimulatedFleet, sampleKeys } from "./simulatedFleet.js";
import type { SimulatedFleet } from "./simulatedFleet.js";

const zones = { "zone-a": 4, "zone-b": 3 };
const deployments = ["scribe", "archive"];
const faults = [
    "cut",
    "heal",
    "logDown",
    "logUp",
    "kill",
    "leave",
    "freeze",
    "resume",
    "restart",
    "partialList",
] as const;
const proposals = ["apply", "race", "late", "wait", "waitLong"] as const;
type Kind = (typeof faults)[number] | (typeof proposals)[number];

interface Step {
    readonly kind: Kind;
    readonly pick: number;
    readonly steps: number;
}

const handlers: Readonly<Record<Kind, (fleet: SimulatedFleet, step: Step, late: LogRecord[]) => void>> = {
    cut: (fleet, { pick }) => {
        const ids = [...fleet.entries.map(entry => entry.id), ...fleet.agents.map(({ listed }) => listed.instance)];
        ids.filter(id => (pick >> ids.indexOf(id)) & 1).forEach(id => fleet.isolated.add(id));
    },
    heal: fleet => fleet.isolated.clear(),
    logDown: fleet => {
        fleet.logUp = false;
    },
    logUp: fleet => {
        fleet.logUp = true;
    },
    kill: (fleet, { pick }) => {
        const agent = fleet.agents[pick % fleet.agents.length]!;
        agent.alive = false;
        fleet.listing.delete(agent.listed.instance);
    },
    leave: (fleet, { pick }) => {
        const { listed, alive } = fleet.agents[pick % fleet.agents.length]!;
        if (alive) {
            fleet.listing.set(listed.instance, { ...listed, state: "leaving" });
        }
    },
    freeze: (fleet, { pick }) => {
        fleet.frozen.add(fleet.agents[pick % fleet.agents.length]!.listed.instance);
    },
    resume: fleet => fleet.frozen.clear(),
    restart: (fleet, { pick }) => fleet.restartEntry(fleet.entries[pick % fleet.entries.length]!),
    partialList: (fleet, { pick }) => {
        const { instance } = fleet.agents[pick % fleet.agents.length]!.listed;
        const row = fleet.listing.get(instance);
        if (row !== undefined) {
            fleet.listing.delete(instance);
            fleet.run(2);
            fleet.listing.set(instance, row);
        }
    },
    apply: (fleet, { pick }) => declare(fleet, pick),
    race: (fleet, { pick }) => {
        const base = fleet.entries[0]!.input.state.configurations.get(deployments[pick % 2]!)?.offset ?? 0;
        declare(fleet, pick, base);
        declare(fleet, pick + 2, base);
    },
    late: (fleet, { pick }, late) => {
        fleet.elapse(1_000);
        late.push(...fleet.propose(fleet.entries[pick % fleet.entries.length]!).map(({ record }) => record));
    },
    wait: () => undefined,
    waitLong: fleet => fleet.run(60),
};

function declare(fleet: SimulatedFleet, pick: number, base?: number): void {
    const replicas = { "zone-a": (pick >> 1) % 3, "zone-b": (pick >> 3) % 3 };
    fleet.apply(deployments[pick % 2]!, replicas, String(1 + ((pick >> 5) % 3)), base);
}

/** Creates a function that returns the state of the whole log and its digest at an offset. */
function createReference() {
    const state = createFoldState();
    const digests = [exportSnapshot(state).digest];
    return (fleet: SimulatedFleet, offset: number) => {
        fleet.log.slice(state.appliedOffset).forEach(entry => {
            foldEntry(state, entry);
            digests.push(exportSnapshot(state).digest);
        });
        return { state, digest: digests[offset] };
    };
}

type Reference = ReturnType<typeof createReference>;

function checkFleet(fleet: SimulatedFleet, reference: Reference): void {
    const { state } = reference(fleet, 0);
    for (const { id, input } of fleet.entries) {
        if (exportSnapshot(input.state).digest !== reference(fleet, input.state.appliedOffset).digest) {
            throw new Error(`${id} differs from the log at ${input.state.appliedOffset}`);
        }
    }
    for (const { listed, loaded, alive, hold } of fleet.agents) {
        const isHeld = alive && loaded !== undefined && fleet.clock.monotonic() < (hold?.validUntil ?? 0);
        const copies = state.placements.get(loaded?.deployment ?? "")?.copies ?? [];
        if (isHeld && !copies.some(copy => copy.instance === listed.instance && copy.epoch === loaded.copy.epoch)) {
            throw new Error(`${listed.instance} holds a copy that counts as released`);
        }
    }
    for (const deployment of deployments) {
        const sharedKey = sampleKeys.find(key => fleet.findAcceptors(deployment, key).length > 1);
        if (sharedKey !== undefined) {
            throw new Error(`several agents accept ${sharedKey} of ${deployment}`);
        }
    }
}

/** Checks that no accepted record adds a copy beyond the wanted number, in a zone or in total. */
function checkCopyCounts(fleet: SimulatedFleet): void {
    const state = createFoldState();
    for (const entry of fleet.log) {
        const { deployment } = entry.record;
        const outcome = foldEntry(state, entry);
        const replicas = state.configurations.get(deployment)?.replicas ?? {};
        const named = entry.record.kind === "placement" ? entry.record.configurationOffset : 0;
        if (outcome !== "accepted" || named !== state.configurations.get(deployment)?.offset) {
            continue;
        }
        const { copies } = state.placements.get(deployment)!;
        const added = copies.filter(({ epoch }) => epoch === entry.offset);
        const total = Object.values(replicas).reduce((sum, count) => sum + count, 0);
        const exceeded = added.some(({ zone }) =>
            copies.filter(copy => copy.zone === zone).length > (replicas[zone] ?? 0)
        );
        if (exceeded || (added.length > 0 && copies.length > total)) {
            throw new Error(`record ${entry.offset} adds more copies of ${deployment} than wanted`);
        }
    }
}

function checkSettled(fleet: SimulatedFleet): void {
    for (const zone of Object.keys(zones)) {
        const usable = fleet.agents.filter(({ listed, alive }) =>
            alive && listed.zone === zone && fleet.listing.get(listed.instance)?.state === "live"
        ).length;
        const declared = deployments.map(deployment => {
            const { configurations } = fleet.entries[0]!.input.state;
            return configurations.get(deployment)?.replicas[zone] ?? 0;
        });
        const held = deployments.map(deployment =>
            fleet.countHeld().get(`${deployment}/${zone}`) ?? 0
        );
        const sum = (counts: readonly number[]) => counts.reduce((total, count) => total + count, 0);
        if (sum(held) < Math.min(sum(declared), usable) || held.some((count, index) => count > declared[index]!)) {
            throw new Error(`${zone} holds ${held.join(" and ")} of ${declared.join(" and ")} on ${usable} instances`);
        }
    }
}

function readCopies(fleet: SimulatedFleet): string {
    return deployments.flatMap(deployment => fleet.readPlacement(deployment)?.copies ?? [])
        .map(({ instance, epoch, state }) => `${instance} ${epoch} ${state}`).join();
}

function runSchedule(schedule: readonly Step[], listLag: number): SimulatedFleet {
    const fleet = createSimulatedFleet(zones, { retention: 400_000 });
    const reference = createReference();
    const late: LogRecord[] = [];
    fleet.listLag = listLag;
    fleet.run(3);
    fleet.apply("scribe", { "zone-a": 2, "zone-b": 1 });
    for (const step of schedule) {
        handlers[step.kind](fleet, step, late);
        for (let count = 0; count < step.steps; count++) {
            fleet.run(1);
            checkFleet(fleet, reference);
        }
        late.splice(0).forEach(record => fleet.append(record));
    }
    fleet.isolated.clear();
    fleet.frozen.clear();
    fleet.logUp = true;
    for (let count = 0; count < 150; count++) {
        fleet.run(1);
        checkFleet(fleet, reference);
    }
    checkSettled(fleet);
    const settled = readCopies(fleet);
    fleet.run(60);
    expect(readCopies(fleet)).toEqual(settled);
    checkCopyCounts(fleet);
    return fleet;
}

function foldAll(fleet: SimulatedFleet, state: FoldState, from: number): FoldState {
    fleet.log.slice(from).forEach(entry => foldEntry(state, entry));
    return state;
}

/** Checks that a state built from a snapshot or a truncated log has no rows that differ from those of the whole log. */
function checkRestarts(fleet: SimulatedFleet): void {
    const full = foldAll(fleet, createFoldState(), 0);
    for (let offset = 1; offset < fleet.log.length; offset++) {
        const before = createFoldState();
        fleet.log.slice(0, offset).forEach(entry => foldEntry(before, entry));
        const imported = importSnapshot(exportSnapshot(before));
        const continued = imported.isOk ? foldAll(fleet, imported.value, offset) : before;
        expect(exportSnapshot(continued).digest).toEqual(exportSnapshot(full).digest);
        const truncated = createFoldState();
        beginAfterTruncation(truncated, offset + 1, 400_000);
        foldAll(fleet, truncated, offset);
        for (const row of [...truncated.configurations.rows(), ...truncated.placements.rows()]) {
            const rows = "copies" in row ? full.placements : full.configurations;
            expect<unknown>(row).toEqual(rows.get(row.deployment));
        }
    }
}

const stepArbitrary = fastCheck.record<Step>({
    kind: fastCheck.constantFrom(...faults, ...proposals),
    pick: fastCheck.nat(1_023),
    steps: fastCheck.nat(25),
});

describe("schedules of faults", () => {
    // Guards against a reverted configuration, processes that disagree, a copy that is held after its release, two
    // owners of a key, more copies than declared, and a placement that does not settle, under lists that lag and
    // disagree, terminated, leaving and paused instances, partitions, log outages, racing operators, late proposals and
    // restarts.
    it("keeps the invariants and reaches the wanted count without needless changes", () => {
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(stepArbitrary, { minLength: 4, maxLength: 14 }),
                fastCheck.nat(3),
                (schedule, listLag) => {
                    checkRestarts(runSchedule(schedule, listLag));
                },
            ),
            {
                path: process.env["SCHEDULE_PATH"] ?? "",
                includeErrorInReport: true,
                seed: 20_261_203,
                numRuns: Number(process.env["SCHEDULE_RUNS"] ?? 60),
            },
        );
    });
});
