import { evaluateHold } from "../../../src/runtime/hold/index.js";
import type { HoldDecision, WitnessAnswer } from "../../../src/runtime/hold/index.js";
import {
    createInstanceTable,
    createProposerMemory,
    mergeInstanceList,
    resolvePlacementOptions,
    runProposer,
} from "../../../src/runtime/placement/index.js";
import type { PlacementOptions, ProposerCommand, ProposerInput } from "../../../src/runtime/placement/index.js";
import { createFoldState, foldEntry } from "../../../src/runtime/state/index.js";
import type { FoldState } from "../../../src/runtime/state/index.js";
import type {
    AgentObservation,
    ConfigurationRecord,
    CopyAssignment,
    CopyReport,
    ListedInstance,
    LogEntry,
    LogRecord,
} from "../../../src/types/index.js";
import { createManualClock, createSeededRandom, createTable, rankByRendezvous } from "../../../src/utils/index.js";

export const sampleKeys = ["key-a", "key-b", "key-c", "key-d", "key-e", "key-f"];

export function createWeights(version: string) {
    return { model: "scribe", adapter: "", version, manifestDigest: version.repeat(64) };
}

/** Entry instance with the input of its proposer. */
export interface Entry {
    readonly id: string;
    input: ProposerInput;
    startedAt: number;
    logKnownAt: number;
}

/** Agent that loads the copy assigned to it while its hold lasts. */
export interface Agent {
    readonly listed: ListedInstance;
    state: FoldState;
    alive: boolean;
    answers: Map<string, WitnessAnswer>;
    logKnownAt: number;
    loaded: { readonly deployment: string; readonly copy: CopyAssignment; } | undefined;
    hold: HoldDecision | undefined;
}

/** Simulates a small fleet with one log, a shared clock and network partitions. */
export function createSimulatedFleet(
    zones: Readonly<Record<string, number>>,
    overrides: Partial<PlacementOptions> = {},
) {
    const clock = createManualClock();
    const options = resolvePlacementOptions(overrides);
    const log: LogEntry[] = [];
    const listing = new Map<string, ListedInstance>();
    const isolated = new Set<string>();
    const fleet = {
        clock,
        options,
        log,
        listing,
        /** Instances cut off by a partition; they reach each other, but neither the log nor the other instances. */
        isolated,
        /** Backend server instances that still finish requests on a revoked copy. */
        busy: new Set<string>(),
        logUp: true,
        /** Steps by which the list of each entry instance is older than that of the one before. */
        listLag: 0,
        /** Backend server instances whose agent is paused. */
        frozen: new Set<string>(),
        entries: [] as Entry[],
        agents: [] as Agent[],
    };
    const listHistory: ListedInstance[][] = [];

    function list(instance: string, role: ListedInstance["role"], pool: string, zone: string): ListedInstance {
        const row = { instance, role, pool, zone, region: zone, address: "127.0.0.1:1", state: "live" } as const;
        listing.set(instance, row);
        return row;
    }

    function createInput(self: string): ProposerInput {
        return {
            self,
            state: createFoldState(),
            instances: createInstanceTable(),
            observations: createTable(),
            witnesses: createTable(),
            memory: createProposerMemory(),
            clock,
            random: createSeededRandom(clock.monotonic() + self.charCodeAt(self.length - 1)),
            options,
        };
    }

    function addAgent(instance: string, zone: string): Agent {
        const agent: Agent = {
            listed: list(instance, "backend-server", "scribe", zone),
            state: createFoldState(),
            alive: true,
            answers: new Map(),
            logKnownAt: Number.NEGATIVE_INFINITY,
            loaded: undefined,
            hold: undefined,
        };
        fleet.agents.push(agent);
        return agent;
    }

    function isConnected(left: string, right: string): boolean {
        return isolated.has(left) === isolated.has(right);
    }

    function isLogReachable(id: string): boolean {
        return fleet.logUp && !isolated.has(id);
    }

    function catchUp(state: FoldState, offset: number): void {
        log.slice(state.appliedOffset, offset).forEach(entry => foldEntry(state, entry));
    }

    function append(record: LogRecord): void {
        if (fleet.logUp) {
            log.push({ offset: log.length + 1, previousOffset: log.length, record });
        }
    }

    function restartEntry(entry: Entry): void {
        entry.input = createInput(entry.id);
        entry.startedAt = clock.monotonic();
        entry.logKnownAt = Number.NEGATIVE_INFINITY;
    }

    function stepEntry(entry: Entry): void {
        const { state, witnesses } = entry.input;
        if (isLogReachable(entry.id)) {
            catchUp(state, log.length);
            entry.logKnownAt = clock.monotonic();
        }
        for (const peer of fleet.entries.filter(other => other !== entry && isConnected(entry.id, other.id))) {
            catchUp(state, peer.input.state.appliedOffset);
            entry.logKnownAt = Math.max(entry.logKnownAt, peer.logKnownAt);
            const heardAt = clock.monotonic();
            const { appliedOffset } = peer.input.state;
            witnesses.set(peer.id, { instance: peer.id, heardAt, appliedOffset, uptime: heardAt - peer.startedAt });
        }
    }

    function findCopy(agent: Agent): Agent["loaded"] {
        return [...agent.state.placements.rows()]
            .flatMap(({ deployment, copies }) => copies.map(copy => ({ deployment, copy })))
            .filter(({ copy }) => copy.instance === agent.listed.instance && copy.state === "assigned")
            .sort((left, right) => left.copy.epoch - right.copy.epoch)[0];
    }

    function decideHold(agent: Agent, copy: CopyAssignment): HoldDecision {
        return evaluateHold({
            witnessSets: [copy.witnesses, ...copy.previousWitnesses === undefined ? [] : [copy.previousWitnesses]],
            logKnownAt: agent.logKnownAt,
            answers: agent.answers,
            now: clock.monotonic(),
            holdDuration: options.holdDuration,
            startedAt: -60_000,
            preceding: agent.hold,
        });
    }

    function stepAgent(agent: Agent): void {
        const now = clock.monotonic();
        const connected = fleet.entries.filter(entry => isConnected(agent.listed.instance, entry.id));
        connected.forEach(entry => catchUp(agent.state, entry.input.state.appliedOffset));
        for (const { id, logKnownAt, startedAt } of connected) {
            agent.logKnownAt = Math.max(agent.logKnownAt, logKnownAt);
            const logUnreachable = now - logKnownAt >= options.holdDuration;
            agent.answers.set(id, { answeredAt: now, logUnreachable, uptime: now - startedAt });
        }
        const assignment = findCopy(agent);
        if (assignment?.copy.epoch !== agent.loaded?.copy.epoch) {
            agent.hold = undefined;
        }
        agent.hold = assignment && decideHold(agent, assignment.copy);
        agent.loaded = agent.hold?.held ? assignment : undefined;
    }

    function readRevokedPhase({ listed }: Agent): CopyReport["phase"] {
        return fleet.busy.has(listed.instance) ? "unloading" : "released";
    }

    function createReports(agent: Agent): CopyReport[] {
        return [...agent.state.placements.rows()].flatMap(({ deployment, copies }) =>
            copies.filter(copy => copy.instance === agent.listed.instance).map(copy => ({
                deployment,
                epoch: copy.epoch,
                version: copy.weights?.version ?? "",
                manifestDigest: copy.weights?.manifestDigest ?? "",
                phase: copy.state === "revoked" ?
                    readRevokedPhase(agent) :
                    agent.loaded === undefined ?
                    "waiting" :
                    "serving",
                chunksComplete: 1,
                chunksTotal: 1,
            }))
        );
    }

    function sendHeartbeats(agent: Agent): void {
        const { instance } = agent.listed;
        const observation: AgentObservation = {
            instance,
            incarnation: "1",
            heardAt: clock.monotonic(),
            appliedOffset: agent.state.appliedOffset,
            draining: false,
            copies: createReports(agent),
        };
        fleet.entries.filter(entry => isConnected(instance, entry.id))
            .forEach(entry => entry.input.observations.set(instance, observation));
    }

    function readLists(): void {
        listHistory.push([...listing.values()]);
        for (const [index, { input }] of fleet.entries.entries()) {
            mergeInstanceList(input.instances, listHistory.at(-1 - index * fleet.listLag) ?? []);
        }
    }

    /** Advances the clock, then lets all processes exchange messages with those that they reach. */
    function elapse(duration: number): void {
        clock.advance(duration);
        // Two rounds, since a peer may relay what it reads in the same step.
        [...fleet.entries, ...fleet.entries].forEach(stepEntry);
        readLists();
        const running = fleet.agents.filter(({ alive, listed }) => alive && !fleet.frozen.has(listed.instance));
        running.forEach(stepAgent);
        running.forEach(sendHeartbeats);
    }

    function propose(entry: Entry): ProposerCommand[] {
        return runProposer(entry.input);
    }

    /** Advances the clock step by step; in each step, the proposers that reach the log append their records. */
    function run(steps: number, duration = 1_000): void {
        for (let step = 0; step < steps; step++) {
            elapse(duration);
            const commands = fleet.entries.filter(entry => isLogReachable(entry.id)).flatMap(propose);
            commands.forEach(({ record }) => append(record));
        }
    }

    /** Counts the copies that an agent may use at this moment, by deployment and zone. */
    function countHeld(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const { alive, loaded, hold, listed } of fleet.agents) {
            if (alive && loaded !== undefined && clock.monotonic() < (hold?.validUntil ?? 0)) {
                const key = `${loaded.deployment}/${listed.zone}`;
                counts.set(key, (counts.get(key) ?? 0) + 1);
            }
        }
        return counts;
    }

    /** Lists the agents that accept a key of a deployment at this moment. */
    function findAcceptors(deployment: string, key: string): string[] {
        return fleet.agents.filter(({ alive, loaded, hold, state, listed }) => {
            const isHeld = alive && loaded?.deployment === deployment && clock.monotonic() < (hold?.validUntil ?? 0);
            const { owners, nextOwners } = state.placements.get(deployment) ?? { owners: [], nextOwners: undefined };
            return isHeld &&
                [owners, nextOwners ?? owners].every(set => rankByRendezvous(key, set)[0] === listed.instance);
        }).map(({ listed }) => listed.instance);
    }

    /** Appends a declaration as an operator does who has read the log. */
    function apply(deployment: string, replicas: Readonly<Record<string, number>>, version = "1", base?: number): void {
        const state = createFoldState();
        catchUp(state, log.length);
        const record: ConfigurationRecord = {
            id: `configuration-${log.length}`,
            kind: "configuration",
            deployment,
            base: base ?? state.configurations.get(deployment)?.offset ?? 0,
            writtenAt: clock.now().toISOString(),
            writer: "operator",
            declaration: { schemaVersion: 1, kind: "model", weights: createWeights(version), replicas, pool: "scribe" },
        };
        append(record);
    }

    function readPlacement(deployment: string) {
        const state = createFoldState();
        catchUp(state, log.length);
        return state.placements.get(deployment);
    }

    for (const id of ["entry-0", "entry-1", "entry-2"]) {
        list(id, "entry", "entry", Object.keys(zones)[0]!);
        fleet.entries.push({ id, input: createInput(id), startedAt: -60_000, logKnownAt: 0 });
    }
    for (const [zone, count] of Object.entries(zones)) {
        Array.from({ length: count }, () => addAgent(`runner-${fleet.agents.length}`, zone));
    }
    return Object.assign(fleet, {
        addAgent,
        append,
        apply,
        countHeld,
        findAcceptors,
        isConnected,
        elapse,
        propose,
        readPlacement,
        restartEntry,
        run,
    });
}

export type SimulatedFleet = ReturnType<typeof createSimulatedFleet>;
