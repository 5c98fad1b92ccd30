import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { ClientAccount, Milliseconds } from "../src/types/index.js";
import { createSeededRandom, sleep } from "../src/utils/index.js";
import { apply, type BurstFigures, runBurst } from "./burst.js";
import {
    type Cluster,
    countResults,
    type Execution,
    type LoadRecord,
    readExecutions,
    startCluster,
    startLoad,
    waitUntilServing,
} from "./cluster/index.js";
import { killAndRestart } from "./failures.js";
import { startStateWatch } from "./stateWatch.js";
import { countWantedCopies, declareService, listWantedCopies, type Topology } from "./topologies.js";
import { createTransferMeter } from "./transferMeter.js";
import { describeBrokenGuarantees, findLeftoverCopies, readDigests } from "./verdict.js";

/** Options of {@link runUser}. */
export interface RunOptions {
    readonly topology: Topology;
    /** Kills an agent, an engine and an entry instance during the version change. */
    readonly kill: boolean;
    readonly seed: number;
    /** Folder that receives the log lines of each process in a file; default: none. */
    readonly logFolder?: string | undefined;
    /** Receives lines for people while the run goes on. */
    readonly report: (line: string) => void;
}

/** Result of the run of one user. */
export interface UserReport {
    readonly user: string;
    readonly title: string;
    readonly model: string;
    readonly objective: string;
    readonly copies: number;
    readonly firstVersion: BurstFigures;
    readonly versionChange: BurstFigures;
    /** Number of requests by result; a retry of a caller counts as a request. */
    readonly requests: Readonly<Record<string, number>>;
    /** 95th percentile of the time to the first byte of answered completions; undefined without any. */
    readonly firstByteP95: { readonly quiet: Milliseconds | undefined; readonly burst: Milliseconds | undefined; };
    readonly samples: number;
    /** What was broken, one line each. */
    readonly broken: readonly string[];
}

const firstVersion = "2026-11";
const secondVersion = "2026-12";
const serviceTimeLimit: Milliseconds = 60_000;
const quietTime: Milliseconds = 3_000;
const callerPause: Milliseconds = 200;

/** Two large client accounts with four callers each, and eight small ones with one. */
const accounts: readonly ClientAccount[] = [
    ...repeat(4, () => "large-account-1"),
    ...repeat(4, () => "large-account-2"),
    ...repeat(8, index => `small-account-${index + 1}`),
];

/**
 * Runs one user's topology through the first burst, live requests and a version change.
 *
 * @param options - topology, seed and whether processes are killed
 * @returns measures and what was broken; rejects if a step does not finish
 */
export async function runUser(options: RunOptions): Promise<UserReport> {
    const { topology, report } = options;
    const random = createSeededRandom(options.seed);
    report(`starts ${countProcesses(topology)} processes in ${topology.zones.map(({ zone }) => zone).join(", ")}`);
    await using cluster = await startCluster({
        ...topology,
        weightSets: [firstVersion, secondVersion].map(version => `${topology.model}::${version}`),
    });
    const watch = startStateWatch(cluster, listWantedCopies(topology));
    const meter = createTransferMeter(cluster);
    const context = { cluster, topology, meter, report };

    const [, first] = await Promise.all([startServices(cluster, topology, report), runBurst(context, firstVersion)]);
    report(describeBurst(topology, first));
    const load = startLoad(cluster, {
        models: [topology.model],
        services: topology.services,
        callers: accounts.length,
        accounts,
        pause: callerPause,
        random,
    });
    report(`ten client accounts, two of them large, send requests through ${topology.entries} entry instances`);
    await sleep(quietTime);

    const journals: Execution[] = [];
    const change = await runBurst(context, secondVersion, async () => {
        if (options.kill) {
            journals.push(...await killAndRestart({ cluster, meter, random, report }));
        }
    });
    report(describeBurst(topology, change));
    const records = await load.stop();
    const digests = await readDigests(cluster, topology.model, [firstVersion, secondVersion]);
    const leftovers = await findLeftoverCopies(cluster, topology, digests.get(secondVersion) ?? "");
    const executions = [...journals, ...await readExecutions(cluster)];
    const { samples, broken } = await watch.stop();
    if (options.logFolder !== undefined) {
        await writeLogs(cluster, join(options.logFolder, topology.name));
    }
    report(`${records.length} requests sent; compares them with what the backend servers ran and stops all processes`);
    return {
        user: topology.name,
        title: topology.title,
        model: topology.model,
        objective: topology.objective,
        copies: countWantedCopies(topology),
        firstVersion: first,
        versionChange: change,
        requests: countResults(records),
        firstByteP95: {
            quiet: computeFirstByteP95(records.filter(({ startedAt }) => startedAt < change.startedAt)),
            burst: computeFirstByteP95(records.filter(({ startedAt }) => startedAt >= change.startedAt)),
        },
        samples,
        broken: [...broken, ...leftovers, ...describeBrokenGuarantees(records, executions, digests)],
    };
}

async function startServices(cluster: Cluster, topology: Topology, report: (line: string) => void): Promise<void> {
    report(`applies the plain services ${topology.services.join(" and ")}`);
    await Promise.all(topology.services.map(async service => {
        await apply(cluster, declareService(topology, service));
        await waitUntilServing(cluster, service, serviceTimeLimit);
    }));
}

function repeat(count: number, name: (index: number) => ClientAccount): ClientAccount[] {
    return [...Array(count).keys()].map(name);
}

/** The platform, two processes for each backend server and one for each entry instance. */
function countProcesses({ entries, pools }: Topology): number {
    const runners = pools.flatMap(pool => pool.runners).reduce((sum, count) => sum + count, 0);
    return 1 + entries + 2 * runners;
}

function describeBurst({ model }: Topology, { version, timeToAllCopies }: BurstFigures): string {
    return `${model} version ${version} serves on all wanted instances after ${(timeToAllCopies / 1_000).toFixed(1)} s`;
}

function computeFirstByteP95(records: readonly LoadRecord[]): Milliseconds | undefined {
    const times = records
        .filter(({ result, version }) => result === "answered" && version !== "")
        .map(({ firstByteAfter }) => firstByteAfter)
        .sort((left, right) => left - right);
    return times[Math.ceil(times.length * 0.95) - 1];
}

async function writeLogs({ entries, runners }: Cluster, folder: string): Promise<void> {
    await mkdir(folder, { recursive: true });
    const programs = [...entries.map(({ process }) => process), ...runners.map(({ agent }) => agent)];
    for (const { name, lines } of programs) {
        await writeFile(join(folder, `${name}.jsonl`), `${lines.join("\n")}\n`);
    }
}
