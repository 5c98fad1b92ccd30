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
import { describeBrokenGuarantees, findLeftoverCopies, readDigests } from "./guarantees.js";
import { startStateSampler } from "./stateSampler.js";
import { countWantedCopies, declareService, listWantedCopies, type Topology } from "./topologies.js";
import { createTransferMeter } from "./transferMeter.js";

/** Options of {@link runUser}. */
export interface RunOptions {
    readonly topology: Topology;
    /** Kills an agent, an engine and an entry instance during the version change. */
    readonly kill: boolean;
    readonly seed: number;
    /** Folder to which the log of each entry instance and agent is written, one file each. Default: no files. */
    readonly logFolder?: string | undefined;
    /** Prints one line of progress. */
    readonly report: (line: string) => void;
}

/** Result of one run of a user's topology. */
export interface UserReport {
    readonly user: string;
    readonly title: string;
    readonly model: string;
    readonly objective: string;
    /** Wanted copies of the model. */
    readonly copies: number;
    readonly firstVersion: BurstFigures;
    readonly versionChange: BurstFigures;
    /** Number of requests by result. Each retry by a caller counts as a request of its own. */
    readonly requests: Readonly<Record<string, number>>;
    /**
     * 95th percentile of the time to first byte of successful completions, before (`quiet`) and since (`burst`) the
     * start of the version change; undefined if there were none.
     */
    readonly firstByteP95: { readonly quiet: Milliseconds | undefined; readonly burst: Milliseconds | undefined; };
    /** Number of times that the copies and configurations were sampled. */
    readonly samples: number;
    /** Violations of guarantees, one line each. */
    readonly broken: readonly string[];
}

const firstVersion = "2026-11";
const secondVersion = "2026-12";
const serviceTimeLimit: Milliseconds = 60_000;
const timeBeforeChange: Milliseconds = 3_000;
const pauseBetweenRequests: Milliseconds = 200;

/** Two large client accounts with four callers each, and eight small ones with one. */
const accounts: readonly ClientAccount[] = [
    ...repeat(4, () => "large-account-1"),
    ...repeat(4, () => "large-account-2"),
    ...repeat(8, index => `small-account-${index + 1}`),
];

/**
 * Runs one user's topology: rolls out the first version, sends requests and changes the version under load.
 *
 * @param options - topology, seed and whether processes are killed
 * @returns the measurements and the violations; rejects if a step does not finish in time
 */
export async function runUser(options: RunOptions): Promise<UserReport> {
    const { topology, report } = options;
    const random = createSeededRandom(options.seed);
    report(`starting ${countProcesses(topology)} processes in ${topology.zones.map(({ zone }) => zone).join(", ")}`);
    await using cluster = await startCluster({
        ...topology,
        weightSets: [firstVersion, secondVersion].map(version => `${topology.model}::${version}`),
    });
    const sampler = startStateSampler(cluster, listWantedCopies(topology));
    const meter = createTransferMeter(cluster);
    const context = { cluster, topology, meter, report };

    const [, firstBurst] = await Promise.all([
        startServices(cluster, topology, report),
        runBurst(context, firstVersion),
    ]);
    report(describeBurst(topology, firstBurst));
    const load = startLoad(cluster, {
        models: [topology.model],
        services: topology.services,
        callers: accounts.length,
        accounts,
        pause: pauseBetweenRequests,
        random,
    });
    report(`ten client accounts, two of them large, are sending requests through ${topology.entries} entry instances`);
    await sleep(timeBeforeChange);

    const executionsBeforeKill: Execution[] = [];
    const secondBurst = await runBurst(context, secondVersion, async () => {
        if (options.kill) {
            executionsBeforeKill.push(...await killAndRestart({ cluster, meter, random, report }));
        }
    });
    report(describeBurst(topology, secondBurst));
    const records = await load.stop();
    const digests = await readDigests(cluster, topology.model, [firstVersion, secondVersion]);
    const leftovers = await findLeftoverCopies(cluster, topology, digests.get(secondVersion) ?? "");
    const executions = [...executionsBeforeKill, ...await readExecutions(cluster)];
    const { samples, broken } = await sampler.stop();
    if (options.logFolder !== undefined) {
        await writeLogs(cluster, join(options.logFolder, topology.name));
    }
    report(
        `${records.length} requests sent; comparing them with what the backend servers ran and stopping all processes`,
    );
    return {
        user: topology.name,
        title: topology.title,
        model: topology.model,
        objective: topology.objective,
        copies: countWantedCopies(topology),
        firstVersion: firstBurst,
        versionChange: secondBurst,
        requests: countResults(records),
        firstByteP95: {
            quiet: computeFirstByteP95(records.filter(({ startedAt }) => startedAt < secondBurst.startedAt)),
            burst: computeFirstByteP95(records.filter(({ startedAt }) => startedAt >= secondBurst.startedAt)),
        },
        samples,
        broken: [...broken, ...leftovers, ...describeBrokenGuarantees(records, executions, digests)],
    };
}

async function startServices(cluster: Cluster, topology: Topology, report: (line: string) => void): Promise<void> {
    report(`applying the plain services ${topology.services.join(" and ")}`);
    await Promise.all(topology.services.map(async service => {
        await apply(cluster, declareService(topology, service));
        await waitUntilServing(cluster, service, serviceTimeLimit);
    }));
}

function repeat(count: number, name: (index: number) => ClientAccount): ClientAccount[] {
    return [...Array(count).keys()].map(name);
}

/** One process for the platform, one for each entry instance, and two for each backend server: itself and its agent. */
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
