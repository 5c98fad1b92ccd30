import { type ChildProcess, fork } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { TransferServiceOptions } from "../../src/node/agent/transfer/index.js";
import { resolveDistributionOptions } from "../../src/runtime/distribution/index.js";
import type { Objective, WeightSet } from "../../src/types/index.js";
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
import { readPercentile, summarizeWaits } from "./percentiles.js";
import { simulateSwarm } from "./simulation.js";

/** Run to measure. */
export interface RunPlan {
    readonly method: Method;
    readonly objective: Objective;
    readonly faulty: boolean;
    readonly agents: number;
    readonly scale: RunScale;
    readonly options: TransferServiceOptions;
    readonly seed: number;
}

/** Measured figures of a run. */
export interface RunResult {
    readonly method: Method;
    readonly objective: Objective;
    readonly faulty: boolean;
    /** Agents that completed the set, and those that were not killed. */
    readonly completed: number;
    readonly expected: number;
    /** Time until the last of them had the set; undefined if some had not within the time limit. */
    readonly seconds: number | undefined;
    readonly boundSeconds: number;
    readonly ratio: number | undefined;
    readonly originCopies: number;
    readonly linkCopiesMean: number;
    readonly linkCopiesMaximum: number;
    readonly liveQuietMilliseconds: number;
    readonly liveBurstMilliseconds: number;
    /** Undefined for simulated runs. */
    readonly liveRatio: number | undefined;
    readonly events: EventCounts;
}

const zones = ["sando-hall", "pos-hall", "scarb-hall"];
/** Agents that share a process; those that are killed have their own. */
const agentsPerProcess = 2;
/** Time over which live requests are measured before the transfer. */
const quietMilliseconds = 3_000;
/** Multiple of the bound after which a run counts as not finished. */
const timeLimitFactor = 5;

function planAgents(count: number): BenchAgent[] {
    return Array.from({ length: count }, (...[, number]): BenchAgent => ({
        instance: `agent-${number}`,
        zone: zones[number % zones.length]!,
        address: "",
        livePort: 0,
    }));
}

/** Child processes of a run. */
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

function tell(child: ChildProcess, message: ToChild): void {
    if (child.connected) {
        child.send(message);
    }
}

function waitFor<Kind extends FromChild["kind"]>(
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
            reject(new Error(`a child process ended with ${code} before it sent ${kind}`));
        });
    });
}

/**
 * Computes the shortest possible time to N copies.
 *
 * @param scale - sizes and speeds
 * @param agents - number of copies
 * @returns seconds
 */
export function computeBound(scale: RunScale, agents: number): number {
    const { linkBytesPerSecond, originBytesPerSecond, totalBytes } = scale;
    return Math.max(
        totalBytes / originBytesPerSecond,
        totalBytes / linkBytesPerSecond,
        agents * totalBytes / (originBytesPerSecond + agents * linkBytesPerSecond),
    );
}

function planFaults(plan: RunPlan, agents: readonly BenchAgent[]): RunFaults {
    if (!plan.faulty) {
        return { corruptShare: 0, dying: [], stalled: undefined, after: 0 };
    }
    const dying = Math.ceil(agents.length * 0.05);
    const after = computeBound(plan.scale, agents.length) * 300;
    return {
        corruptShare: 0.01,
        // Neither the tree's root nor its next nodes die, since no node of the tree looks for another parent.
        dying: agents.slice(-dying).map(({ instance }) => instance),
        stalled: agents.at(-dying - 1)!.instance,
        after,
    };
}

function groupAgents(agents: readonly BenchAgent[], dying: readonly string[]): BenchAgent[][] {
    const groups = agents.filter(({ instance }) => dying.includes(instance)).map(agent => [agent]);
    const rest = agents.filter(({ instance }) => !dying.includes(instance));
    for (let first = 0; first < rest.length; first += agentsPerProcess) {
        groups.push(rest.slice(first, first + agentsPerProcess));
    }
    return groups;
}

/**
 * Runs the decisions against simulated links; live requests are not simulated.
 *
 * @param plan - what to run
 * @returns the figures
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
        exchangeInterval: plan.options.exchangeInterval ?? 500,
        retryChokedAfter: plan.options.retryChokedAfter ?? 200,
        seed,
    });
    const boundSeconds = computeBound(scale, agents);
    const expected = agents - faults.dying.length;
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
 * Measures one run with its own processes.
 *
 * @param plan - what to run
 * @returns the figures
 */
export async function measureRun(plan: RunPlan): Promise<RunResult> {
    const planned = planAgents(plan.agents);
    const faults = planFaults(plan, planned);
    using children = createChildren();
    const origin = children.start("./originProcess.ts");
    const listening = waitFor(origin, "origin-listening");
    tell(origin, {
        kind: "start-origin",
        scale: plan.scale,
        corruptShare: faults.corruptShare,
        seed: plan.seed,
    });
    const { port, weights } = await listening;
    const groups = groupAgents(planned, faults.dying);
    const workers = await Promise.all(
        groups.map(group => startWorker(plan, children.start("./agentProcess.ts"), group, faults, port, weights)),
    );
    const running = workers.flatMap(worker => worker.agents);
    const agents = planned.map(({ instance }) => running.find(agent => agent.instance === instance)!);
    const client = children.start("./clientProcess.ts");
    const clientStarted = waitFor(client, "client-started");
    const livePorts = agents.filter(({ instance }) => instance !== faults.stalled && !faults.dying.includes(instance))
        .map(({ livePort }) => livePort);
    tell(client, { kind: "start-client", ports: livePorts, seed: plan.seed });
    await clientStarted;
    await delay(quietMilliseconds);
    tell(client, { kind: "mark-burst" });
    const times = await runBurst(plan, workers, agents, faults);
    const latencies = waitFor(client, "latencies");
    tell(client, { kind: "finish" });
    const { burst, quiet } = await latencies;
    const originTotals = waitFor(origin, "origin-totals");
    tell(origin, { kind: "finish" });
    const { sentBytes } = await originTotals;
    const totals = await collectTotals(workers, faults);
    return summarize(plan, faults, times, sentBytes, totals, quiet, burst);
}

interface Worker {
    readonly child: ChildProcess;
    readonly agents: readonly BenchAgent[];
}

async function startWorker(
    plan: RunPlan,
    child: ChildProcess,
    agents: readonly BenchAgent[],
    faults: RunFaults,
    originPort: number,
    weights: WeightSet,
): Promise<Worker> {
    const listening = waitFor(child, "agents-listening");
    const { method, options, scale, seed } = plan;
    tell(child, { kind: "start-agents", agents, scale, faults, method, options, originPort, weights, seed });
    return { child, agents: (await listening).agents };
}

/** Starts the transfer and returns the time that each agent took; killed agents take none. */
async function runBurst(
    plan: RunPlan,
    workers: readonly Worker[],
    agents: readonly BenchAgent[],
    faults: RunFaults,
): Promise<ReadonlyMap<string, number>> {
    const startedAt = Number(process.hrtime.bigint()) / 1e6;
    const times = new Map<string, number>();
    const expected = agents.length - faults.dying.length;
    const limit = computeBound(plan.scale, agents.length) * 1_000 *
        (plan.method === "origin-only" ? agents.length : timeLimitFactor);
    const ended = new Promise<void>(resolve => {
        for (const { child } of workers) {
            child.on("message", (message: FromChild) => {
                if (message.kind === "complete" && !faults.dying.includes(message.instance)) {
                    // Both processes read the same monotonic clock.
                    times.set(message.instance, message.at - startedAt);
                }
                if (times.size === expected) {
                    resolve();
                }
            });
        }
    });
    for (const { child } of workers) {
        tell(child, { kind: "begin", agents, objective: plan.objective });
    }
    const killer = setTimeout(() => {
        for (const worker of workers.filter(({ agents: [first] }) => faults.dying.includes(first!.instance))) {
            worker.child.kill("SIGKILL");
        }
    }, faults.after);
    await Promise.race([ended, delay(limit, undefined, { ref: false })]);
    clearTimeout(killer);
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
        if (faults.dying.includes(agents[0]!.instance)) {
            continue;
        }
        const answer = waitFor(child, "agent-totals");
        tell(child, { kind: "finish" });
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
    const expected = plan.agents - faults.dying.length;
    const boundSeconds = computeBound(plan.scale, plan.agents);
    const seconds = times.size === expected ? Math.max(...times.values()) / 1_000 : undefined;
    const copies = totals.map(({ receivedBytes, sentBytes }) => (receivedBytes + sentBytes) / totalBytes);
    const liveQuietMilliseconds = readPercentile(quiet, 0.95);
    const liveBurstMilliseconds = readPercentile(burst, 0.95);
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
