import { type ChildProcess, fork } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { TransferServiceOptions } from "../../src/node/agent/transfer/index.js";
import { resolveTransferSettings } from "../../src/node/agent/transfer/settings.js";
import { resolveDistributionOptions } from "../../src/runtime/distribution/index.js";
import type { Objective, WeightSet } from "../../src/types/index.js";
import { computeLowerBound } from "./lowerBound.js";
import type {
    AgentTotals,
    BenchAgent,
    EventCounts,
    FromChild,
    Method,
    RunFaults,
    RunScale,
    ToChild,
} from "./messages.js";
import { computePercentile, summarizeWaits } from "./percentiles.js";
import { simulateSwarm } from "./simulation.js";
import type { SimulationPlan, SimulationResult } from "./simulationTypes.js";

/** Parameters of a run. */
export interface RunPlan {
    readonly method: Method;
    readonly objective: Objective;
    readonly faulty: boolean;
    readonly agents: number;
    readonly scale: RunScale;
    readonly options: TransferServiceOptions;
    readonly seed: number;
    /** Share of the agents that a simulation replaces by empty ones after half of the shortest possible time. */
    readonly replacedShare: number;
    /** What only a simulation takes into account. */
    readonly simulation?: Partial<Pick<SimulationPlan, "zoneBytesPerSecond" | "outage" | "namedAt" | "target">>;
}

/** Results of a run, as written to the JSON output. */
export interface RunResult {
    readonly method: Method;
    readonly objective: Objective;
    readonly faulty: boolean;
    /** Numbers of agents that completed the set and of agents that were not killed. */
    readonly completed: number;
    readonly expected: number;
    /** Time until all expected agents had the set; undefined if some did not complete it within the time limit. */
    readonly seconds: number | undefined;
    /** Shortest possible time; `ratio` is the measured time as a multiple of it. */
    readonly boundSeconds: number;
    readonly ratio: number | undefined;
    /** Bytes that the origin sent, as a multiple of the size of the set. */
    readonly originCopies: number;
    /** Bytes that an agent received and sent, as a multiple of the size of the set; killed agents are left out. */
    readonly linkCopiesMean: number;
    readonly linkCopiesMaximum: number;
    /** 95th percentiles of the latency of live requests, before and during the transfer. */
    readonly liveQuietMilliseconds: number;
    readonly liveBurstMilliseconds: number;
    /** Latency during the transfer as a multiple of that before it; undefined for simulated runs. */
    readonly liveRatio: number | undefined;
    readonly events: EventCounts;
    /** For each simulated version, the number of agents that completed it, and the time of the last of them. */
    readonly versions?: SimulationResult["versions"];
}

interface Worker {
    readonly child: ChildProcess;
    readonly agents: readonly BenchAgent[];
}

const zones = ["sando-hall", "pos-hall", "scarb-hall"];
/** Agents that share a process; each agent that will be killed has a process of its own. */
const agentsPerProcess = 2;
/** Duration for which live requests are measured before the transfer. */
const quietMilliseconds = 3_000;
/** Multiple of the shortest possible time after which a run counts as unfinished. */
const timeLimitFactor = 5;

function planAgents(count: number): BenchAgent[] {
    return Array.from({ length: count }, (...[, number]): BenchAgent => ({
        instance: `agent-${number}`,
        zone: zones[number % zones.length]!,
        address: "",
        livePort: 0,
    }));
}

/** Creates the set of the child processes of a run, which are killed when it is disposed of. */
function createChildren() {
    const children: ChildProcess[] = [];
    return {
        start: (file: string): ChildProcess => {
            const path = fileURLToPath(new URL(file, import.meta.url));
            const child = fork(path, [], { execArgv: ["--import", "tsx"] });
            children.push(child);
            return child;
        },
        [Symbol.dispose]: () => {
            for (const child of children) {
                child.kill("SIGKILL");
            }
        },
    };
}

function sendMessage(child: ChildProcess, message: ToChild): void {
    if (child.connected) {
        child.send(message);
    }
}

function waitForMessage<Kind extends FromChild["kind"]>(
    child: ChildProcess,
    kind: Kind,
): Promise<Extract<FromChild, { kind: Kind; }>> {
    return new Promise((resolve, reject) => {
        const receive = (message: FromChild) => {
            if (message.kind === kind) {
                child.off("message", receive);
                resolve(message as Extract<FromChild, { kind: Kind; }>);
            }
        };
        child.on("message", receive);
        child.once("exit", code => {
            reject(new Error(`child process exited with code ${code} before it sent the message "${kind}"`));
        });
    });
}

function planFaults(plan: RunPlan, agents: readonly BenchAgent[]): RunFaults {
    if (!plan.faulty) {
        return { corruptShare: 0, killed: [], stalled: undefined, after: 0 };
    }
    const killedCount = Math.ceil(agents.length * 0.05);
    const after = computeLowerBound(plan.scale, agents.length) * 300;
    return {
        corruptShare: 0.01,
        // Neither the tree's root nor its next nodes are killed, since no node of the tree looks for another parent.
        killed: agents.slice(-killedCount).map(({ instance }) => instance),
        stalled: agents.at(-killedCount - 1)!.instance,
        after,
    };
}

function groupAgents(agents: readonly BenchAgent[], killed: readonly string[]): BenchAgent[][] {
    const groups = agents.filter(({ instance }) => killed.includes(instance)).map(agent => [agent]);
    const others = agents.filter(({ instance }) => !killed.includes(instance));
    for (let first = 0; first < others.length; first += agentsPerProcess) {
        groups.push(others.slice(first, first + agentsPerProcess));
    }
    return groups;
}

/**
 * Runs the decisions with simulated links; live requests are not simulated.
 *
 * @param plan - parameters of the run
 * @returns the results
 */
export function simulateRun(plan: RunPlan): RunResult {
    const { agents, faulty, method, objective, scale, seed } = plan;
    const faults = planFaults(plan, planAgents(agents));
    const simulated = simulateSwarm({
        agents,
        objective,
        scale,
        faults,
        options: resolveDistributionOptions(plan.options),
        ...resolveTransferSettings(plan.options),
        seed,
        zoneBytesPerSecond: Infinity,
        outage: undefined,
        namedAt: [0],
        manifestAfter: 0,
        target: { copyTime: 5_000, cutoverAfter: Infinity },
        ...plan.simulation,
        replacedShare: plan.replacedShare,
        replacedAfter: computeLowerBound(scale, agents) * 500,
    });
    const boundSeconds = computeLowerBound(scale, agents);
    const expected = agents - faults.killed.length;
    return {
        method,
        objective,
        faulty,
        expected,
        boundSeconds,
        ratio: simulated.seconds === undefined ? undefined : simulated.seconds / boundSeconds,
        liveQuietMilliseconds: NaN,
        liveBurstMilliseconds: NaN,
        liveRatio: undefined,
        events: {},
        ...simulated,
    };
}

/**
 * Measures one run, for which it starts an origin, agents and a client as child processes.
 *
 * @param plan - parameters of the run
 * @returns the results
 */
export async function measureRun(plan: RunPlan): Promise<RunResult> {
    const planned = planAgents(plan.agents);
    const faults = planFaults(plan, planned);
    using children = createChildren();
    const origin = children.start("./originProcess.ts");
    const listening = waitForMessage(origin, "origin-listening");
    sendMessage(origin, {
        kind: "start-origin",
        scale: plan.scale,
        corruptShare: faults.corruptShare,
        seed: plan.seed,
    });
    const { port, weights } = await listening;
    const groups = groupAgents(planned, faults.killed);
    const workers = await Promise.all(
        groups.map(group => startWorker(plan, children.start("./agentProcess.ts"), group, faults, port, weights)),
    );
    const running = workers.flatMap(worker => worker.agents);
    const agents = planned.map(({ instance }) => running.find(agent => agent.instance === instance)!);
    const client = children.start("./clientProcess.ts");
    const clientStarted = waitForMessage(client, "client-started");
    const livePorts = agents.filter(({ instance }) => instance !== faults.stalled && !faults.killed.includes(instance))
        .map(({ livePort }) => livePort);
    sendMessage(client, { kind: "start-client", ports: livePorts, seed: plan.seed });
    await clientStarted;
    await delay(quietMilliseconds);
    sendMessage(client, { kind: "mark-burst" });
    const times = await runTransfer(plan, workers, agents, faults);
    const latencies = waitForMessage(client, "latencies");
    sendMessage(client, { kind: "finish" });
    const { burst, quiet } = await latencies;
    const originTotals = waitForMessage(origin, "origin-totals");
    sendMessage(origin, { kind: "finish" });
    const { sentBytes } = await originTotals;
    const totals = await collectTotals(workers, faults);
    return summarize(plan, faults, times, sentBytes, totals, quiet, burst);
}

async function startWorker(
    plan: RunPlan,
    child: ChildProcess,
    agents: readonly BenchAgent[],
    faults: RunFaults,
    originPort: number,
    weights: WeightSet,
): Promise<Worker> {
    const listening = waitForMessage(child, "agents-listening");
    const { method, options, scale, seed } = plan;
    sendMessage(child, { kind: "start-agents", agents, scale, faults, method, options, originPort, weights, seed });
    return { child, agents: (await listening).agents };
}

/** Runs the transfer and returns the time that each agent took to complete the set; killed agents are left out. */
async function runTransfer(
    plan: RunPlan,
    workers: readonly Worker[],
    agents: readonly BenchAgent[],
    faults: RunFaults,
): Promise<ReadonlyMap<string, number>> {
    const startedAt = Number(process.hrtime.bigint()) / 1e6;
    const times = new Map<string, number>();
    const expected = agents.length - faults.killed.length;
    const limit = computeLowerBound(plan.scale, agents.length) * 1_000 *
        (plan.method === "origin-only" ? agents.length : timeLimitFactor);
    const allComplete = new Promise<void>(resolve => {
        for (const { child } of workers) {
            child.on("message", (message: FromChild) => {
                if (message.kind === "complete" && !faults.killed.includes(message.instance)) {
                    // The monotonic clock is the same in all processes of the machine.
                    times.set(message.instance, message.at - startedAt);
                }
                if (times.size === expected) {
                    resolve();
                }
            });
        }
    });
    for (const { child } of workers) {
        sendMessage(child, { kind: "begin", agents, objective: plan.objective });
    }
    const killTimer = setTimeout(() => {
        for (const worker of workers.filter(({ agents: [first] }) => faults.killed.includes(first!.instance))) {
            worker.child.kill("SIGKILL");
        }
    }, faults.after);
    await Promise.race([allComplete, delay(limit, undefined, { ref: false })]);
    clearTimeout(killTimer);
    return times;
}

async function collectTotals(
    workers: readonly Worker[],
    faults: RunFaults,
): Promise<{ readonly totals: AgentTotals[]; readonly events: EventCounts; }> {
    const totals: AgentTotals[] = [];
    const events: Record<string, number> = {};
    const answers: Extract<FromChild, { kind: "agent-totals"; }>[] = [];
    for (const { agents, child } of workers) {
        if (faults.killed.includes(agents[0]!.instance)) {
            continue;
        }
        const answer = waitForMessage(child, "agent-totals");
        sendMessage(child, { kind: "finish" });
        const message = await answer;
        totals.push(...message.totals);
        answers.push(message);
        for (const [event, count] of Object.entries(message.eventCounts)) {
            events[event] = (events[event] ?? 0) + count;
        }
    }
    Object.assign(events, summarizeWaits(answers));
    return { totals, events };
}

function summarize(
    plan: RunPlan,
    faults: RunFaults,
    times: ReadonlyMap<string, number>,
    originBytes: number,
    { events, totals }: { readonly totals: readonly AgentTotals[]; readonly events: EventCounts; },
    quiet: readonly number[],
    burst: readonly number[],
): RunResult {
    const { totalBytes } = plan.scale;
    const expected = plan.agents - faults.killed.length;
    const boundSeconds = computeLowerBound(plan.scale, plan.agents);
    const seconds = times.size === expected ? Math.max(...times.values()) / 1_000 : undefined;
    const copies = totals.map(({ receivedBytes, sentBytes }) => (receivedBytes + sentBytes) / totalBytes);
    const liveQuietMilliseconds = computePercentile(quiet, 0.95);
    const liveBurstMilliseconds = computePercentile(burst, 0.95);
    return {
        method: plan.method,
        objective: plan.objective,
        faulty: plan.faulty,
        completed: times.size,
        expected,
        seconds,
        boundSeconds,
        ratio: seconds === undefined ? undefined : seconds / boundSeconds,
        originCopies: originBytes / totalBytes,
        linkCopiesMean: copies.reduce((sum, value) => sum + value, 0) / copies.length,
        linkCopiesMaximum: Math.max(...copies),
        liveQuietMilliseconds,
        liveBurstMilliseconds,
        liveRatio: liveBurstMilliseconds / liveQuietMilliseconds,
        events,
    };
}
