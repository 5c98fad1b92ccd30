import { availableParallelism, loadavg } from "node:os";
import { parseArgs } from "node:util";
import type { TransferServiceOptions } from "../src/node/agent/transfer/index.js";
import type { Objective } from "../src/types/index.js";
import type { DeploymentName } from "./distribution/deployments.js";
import { computeLowerBound } from "./distribution/lowerBound.js";
import type { Method } from "./distribution/messages.js";
import { measureRun, type RunPlan, type RunResult, simulateRun } from "./distribution/run.js";
import { printTable } from "./distribution/table.js";
import { listMissedTargets } from "./distribution/targets.js";

const { values: flags } = parseArgs({
    options: {
        agents: { type: "string", default: "24" },
        seed: { type: "string", default: "1" },
        repeats: { type: "string", default: "1" },
        json: { type: "boolean", default: false },
        check: { type: "boolean", default: false },
        /** Runs the decisions against simulated links instead of processes. */
        simulate: { type: "boolean", default: false },
        /** Runs only the runs whose label contains the text. */
        only: { type: "string", default: "" },
        /** Number of chunks of the set. */
        chunks: { type: "string", default: "240" },
        /** Time that a link takes for one copy of the set, in seconds. */
        copySeconds: { type: "string", default: "24" },
        /** Rate of the origin as a multiple of that of a link. */
        originLinks: { type: "string", default: "4" },
        /** Share of the agents that a simulation replaces by empty ones after half of the shortest possible time. */
        replaced: { type: "string", default: "0" },
        /** Options of the transfer service as JSON, which override those of the benchmark. */
        options: { type: "string", default: "{}" },
        /** Simulates the two deployments with these numbers of agents and prints a table. */
        table: { type: "string", default: "" },
        /** Deployments of the table. */
        deployments: { type: "string", default: "engraving,catch-up" },
        /** Named sets of options of the table as JSON, which override those of the platform's template. */
        variants: { type: "string", default: "{\"template\":{}}" },
    },
});

const agents = Number(flags.agents);
const mebibyte = 1024 * 1024;
/** With more agents, links are slower, so that the links and not the machine's processors limit the transfer. */
const linkBytesPerSecond = Math.min(mebibyte / 2, Math.round(16 * mebibyte / agents));
const totalBytes = linkBytesPerSecond * Number(flags.copySeconds);
const scale = {
    totalBytes,
    chunkBytes: Math.round(totalBytes / Number(flags.chunks)),
    linkBytesPerSecond,
    originBytesPerSecond: linkBytesPerSecond * Number(flags.originLinks),
};

/**
 * Times are about a fifth of the service's defaults, since the transfer of a set takes 24 s here and minutes in
 * operation. Parts are so small that the slow link transfers one in a few milliseconds.
 */
const scaledOptions: TransferServiceOptions = {
    stallAfter: 3_000,
    originStallAfter: 5_000,
    avoidSourceFor: 3_000,
    originTakeoverAfter: 1_000,
    exchangeInterval: 500,
    exchangeTimeLimit: 2_000,
    engineReadInterval: 1_000,
    retryChokedAfter: 30,
    tickInterval: 50,
    partBytes: 4_096,
    // Six chunks, as with the service's default and chunks of 2 MiB.
    maximumBytesInFlight: 6 * scale.chunkBytes,
};

const scenarios: readonly { readonly method: Method; readonly objective: Objective; readonly faulty: boolean; }[] = [
    { method: "swarm", objective: "time", faulty: false },
    { method: "swarm", objective: "time", faulty: true },
    { method: "swarm", objective: "origin-bytes", faulty: false },
    { method: "swarm", objective: "origin-bytes", faulty: true },
    { method: "origin-only", objective: "time", faulty: false },
    { method: "origin-only", objective: "time", faulty: true },
    { method: "binary-tree", objective: "time", faulty: false },
    { method: "binary-tree", objective: "time", faulty: true },
];

function describeRun({ faulty, method, objective }: Pick<RunPlan, "faulty" | "method" | "objective">): string {
    const detail = method === "swarm" ? ` ${objective}` : "";
    return `${method}${detail} ${faulty ? "faults" : "clean"}`;
}

function formatResult(result: RunResult): string {
    const seconds = result.seconds === undefined ? "unfinished" : `${result.seconds.toFixed(1)} s`;
    return [
        describeRun(result).padEnd(30),
        `${result.completed}/${result.expected}`.padStart(8),
        seconds.padStart(11),
        (result.ratio?.toFixed(2) ?? "-").padStart(7),
        result.originCopies.toFixed(2).padStart(8),
        result.linkCopiesMean.toFixed(2).padStart(7),
        result.linkCopiesMaximum.toFixed(2).padStart(7),
        result.liveQuietMilliseconds.toFixed(1).padStart(8),
        result.liveBurstMilliseconds.toFixed(1).padStart(8),
        (result.liveRatio?.toFixed(2) ?? "-").padStart(7),
    ].join(" ");
}

const header = [
    "run".padEnd(30),
    "complete".padStart(8),
    "time to N".padStart(11),
    "/bound".padStart(7),
    "origin".padStart(8),
    "link".padStart(7),
    "max".padStart(7),
    "p95 ms".padStart(8),
    "burst".padStart(8),
    "ratio".padStart(7),
].join(" ");

/** Selects the scenarios to run; only the swarm can be simulated, since the baselines don't use its decisions. */
function selectScenarios() {
    return scenarios.filter(scenario =>
        describeRun(scenario).includes(flags.only) && (!flags.simulate || scenario.method === "swarm")
    );
}

async function main(): Promise<void> {
    if (flags.table !== "") {
        printTable({
            deployments: flags.deployments.split(",") as DeploymentName[],
            sizes: flags.table.split(",").map(Number),
            seeds: Array.from({ length: Number(flags.repeats) }, (...[, repeat]) => Number(flags.seed) + repeat),
            only: flags.only,
            variants: JSON.parse(flags.variants) as Record<string, TransferServiceOptions>,
        });
        console.log(JSON.stringify({ processors: availableParallelism(), loadAverage: loadavg()[0] }));
        return;
    }
    const options = { ...scaledOptions, ...JSON.parse(flags.options) as TransferServiceOptions };
    const results: RunResult[] = [];
    if (!flags.json) {
        const bound = computeLowerBound(scale, agents);
        console.log(
            `${agents} agents in 3 availability zones, ${scale.totalBytes} bytes in chunks of ${scale.chunkBytes}, ` +
                `links ${linkBytesPerSecond} B/s each way, origin ${scale.originBytesPerSecond} B/s, bound ${
                    bound.toFixed(1)
                } s`,
        );
        console.log(header);
    }
    for (let repeat = 0; repeat < Number(flags.repeats); repeat++) {
        for (const scenario of selectScenarios()) {
            const plan = {
                ...scenario,
                agents,
                scale,
                options,
                seed: Number(flags.seed) + repeat,
                replacedShare: Number(flags.replaced),
            };
            const result = flags.simulate ? simulateRun(plan) : await measureRun(plan);
            results.push(result);
            if (!flags.json) {
                console.log(formatResult(result), JSON.stringify(result.events));
            }
        }
    }
    const missed = listMissedTargets(results);
    // On an overloaded machine, the times include waits for a processor; the load average tells.
    const machine = { processors: availableParallelism(), loadAverage: loadavg()[0] };
    console.log(
        flags.json ?
            JSON.stringify({ agents, scale, options, results, missed, machine }, undefined, 2) :
            JSON.stringify(machine),
    );
    for (const line of missed) {
        console.error(`missed target: ${line}`);
    }
    process.exitCode = flags.check && missed.length > 0 ? 1 : 0;
}

await main();
