import type { DeploymentStatus } from "../src/node/entry/index.js";
import type { Milliseconds } from "../src/types/index.js";
import { applyDeclaration, type Cluster, readStatus, waitUntil } from "./cluster/index.js";
import { countWantedCopies, declareModel, modelBytes, type Topology } from "./topologies.js";
import { compareTotals, type TransferFigures, type TransferMeter } from "./transferMeter.js";

/** Measurements of one burst: the rollout of a version of the model to all wanted copies at once. */
export interface BurstFigures extends TransferFigures {
    readonly version: string;
    /** Time from the start of `goldcrestpoint apply` until all wanted copies serve the version. */
    readonly timeToAllCopies: Milliseconds;
    readonly startedAt: Milliseconds;
    readonly endedAt: Milliseconds;
}

/** Dependencies of {@link runBurst}. */
export interface BurstContext {
    readonly cluster: Cluster;
    readonly topology: Topology;
    readonly meter: TransferMeter;
    /** Prints one line of progress. */
    readonly report: (line: string) => void;
}

/** Far above the expected few seconds, so that the demo does not fail on a busy machine. */
const burstTimeLimit: Milliseconds = 60_000;
const reportInterval: Milliseconds = 1_000;

/**
 * Applies a version of the model and waits until all wanted copies serve it.
 *
 * @param context - the cluster and its topology
 * @param version - version to apply
 * @param injectFailures - called once when the first chunks have arrived; the burst does not end before it resolves
 * @returns the measurements; rejects if not all copies serve the version within a minute
 */
export async function runBurst(
    context: BurstContext,
    version: string,
    injectFailures: () => Promise<void> = () => Promise.resolve(),
): Promise<BurstFigures> {
    const { cluster, topology, meter, report } = context;
    const before = await meter.read();
    const startedAt = performance.now();
    report(`applying ${topology.model} version ${version} for ${countWantedCopies(topology)} copies`);
    await apply(cluster, declareModel(topology, version));
    const reportProgress = createProgressReport(report);
    const waitFor = (isReached: (row: DeploymentStatus) => boolean): Promise<void> =>
        waitForProgress(context, version, row => {
            reportProgress(row);
            return isReached(row);
        });
    await waitFor(row => countChunks(row).complete > 0);
    await Promise.all([injectFailures(), waitFor(isServing)]);
    const endedAt = performance.now();
    const figures = compareTotals(before, await meter.read(), modelBytes);
    return { version, timeToAllCopies: endedAt - startedAt, startedAt, endedAt, ...figures };
}

/**
 * Applies a declaration.
 *
 * @param cluster - the cluster
 * @param declaration - INI text
 * @returns resolves when it is accepted; rejects if it is not
 */
export async function apply(cluster: Cluster, declaration: string): Promise<void> {
    const { exitCode, lines } = await applyDeclaration(cluster, declaration);
    if (exitCode !== 0) {
        throw new Error(`apply exited with code ${exitCode}: ${lines.join(" ")}`);
    }
}

async function waitForProgress(
    { cluster, topology }: BurstContext,
    version: string,
    isReached: (row: DeploymentStatus) => boolean,
): Promise<void> {
    await waitUntil(`${topology.model} version ${version} serves`, burstTimeLimit, async () => {
        const status = await readStatus(cluster);
        const row = status?.deployments.find(candidate => candidate.deployment === topology.model);
        return row?.version === version && isReached(row);
    });
}

function createProgressReport(report: (line: string) => void): (row: DeploymentStatus) => void {
    let reportedAt = performance.now();
    return row => {
        if (performance.now() - reportedAt >= reportInterval) {
            reportedAt = performance.now();
            report(describeProgress(row));
        }
    };
}

function isServing({ zones }: DeploymentStatus): boolean {
    return zones.every(({ serving, wanted }) => serving === wanted);
}

function countChunks({ zones }: DeploymentStatus): { readonly complete: number; readonly total: number; } {
    return {
        complete: zones.reduce((sum, { chunksComplete }) => sum + chunksComplete, 0),
        total: zones.reduce((sum, { chunksTotal }) => sum + chunksTotal, 0),
    };
}

function describeProgress(row: DeploymentStatus): string {
    const { complete, total } = countChunks(row);
    const share = total === 0 ? 0 : Math.floor(100 * complete / total);
    const serving = row.zones.reduce((sum, zone) => sum + zone.serving, 0);
    const wanted = row.zones.reduce((sum, zone) => sum + zone.wanted, 0);
    return `version ${
        row.version ?? ""
    }: ${share} % of the weights transferred, ${serving} of ${wanted} copies are serving`;
}
