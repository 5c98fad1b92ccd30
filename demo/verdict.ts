import type { Milliseconds } from "../src/types/index.js";
import {
    type Cluster,
    type Execution,
    findBrokenGuarantees,
    type LoadRecord,
    sendJsonRequest,
    waitUntil,
} from "./cluster/index.js";
import { readEngineStates } from "./stateWatch.js";
import { countWantedCopies, type Topology } from "./topologies.js";

const releaseTimeLimit: Milliseconds = 10_000;

/**
 * Finds answers whose weights are not those of the version that the caller was told.
 *
 * @param records - requests of the load
 * @param executions - executions of all backend servers
 * @param digests - manifest digest by version
 * @returns one line for each such answer
 */
export function findMixedVersions(
    records: readonly LoadRecord[],
    executions: readonly Execution[],
    digests: ReadonlyMap<string, string>,
): string[] {
    const used = new Map<string, Set<string>>();
    for (const { requestId, manifestDigest } of executions.filter(({ manifestDigest = "" }) => manifestDigest !== "")) {
        used.set(requestId, (used.get(requestId) ?? new Set()).add(manifestDigest ?? ""));
    }
    return records
        .filter(({ result, version }) => result === "answered" && version !== "")
        .filter(({ requestId, version }) => {
            const expected = digests.get(version);
            const found = used.get(requestId);
            // A journal that was lost with its process says nothing about the request.
            return expected === undefined || found !== undefined && !found.has(expected);
        })
        .map(({ requestId, version }) => `${requestId}: answered as version ${version}, run on other weights`);
}

/**
 * Describes each broken guarantee in one line.
 *
 * @param records - requests of the load
 * @param executions - executions of all backend servers
 * @param digests - manifest digest by version
 * @returns the lines; empty if no guarantee was broken
 */
export function describeBrokenGuarantees(
    records: readonly LoadRecord[],
    executions: readonly Execution[],
    digests: ReadonlyMap<string, string>,
): string[] {
    const { wrongAnswers, refusedButRun, executedTwice } = findBrokenGuarantees(records, executions);
    return [
        ...wrongAnswers.map(({ requestId, deployment }) => `${requestId}: wrong or incomplete answer of ${deployment}`),
        ...refusedButRun.map(({ requestId, reason }) => `${requestId}: refused as not run (${reason}), but it ran`),
        ...executedTwice.map(key => `key ${key}: executed more than once`),
        ...findMixedVersions(records, executions, digests),
    ];
}

/**
 * Reads the manifest digests of the model's versions.
 *
 * @param cluster - the cluster
 * @param model - name of the model
 * @param versions - versions of the weight store
 * @returns digest by version
 */
export async function readDigests(
    cluster: Cluster,
    model: string,
    versions: readonly string[],
): Promise<ReadonlyMap<string, string>> {
    const digests = await Promise.all(versions.map(async version => {
        const answer = await sendJsonRequest(
            "GET",
            `${cluster.platformUrl}/manifests?model=${model}&adapter=&version=${version}`,
        );
        return [version, String(answer.headers["x-manifest-digest"])] as const;
    }));
    return new Map(digests);
}

/**
 * Waits until the engines hold the wanted copies of one version and nothing else.
 *
 * @param cluster - the cluster
 * @param topology - the user's topology
 * @param digest - manifest digest of the version
 * @returns one line for each engine with other weights after ten seconds; empty if there is none
 */
export async function findLeftoverCopies(cluster: Cluster, topology: Topology, digest: string): Promise<string[]> {
    const models = cluster.runners.filter(({ kind }) => kind === "model");
    let problems: string[] = [];
    try {
        await waitUntil("old weights are dropped", releaseTimeLimit, async () => {
            const states = await readEngineStates(models);
            const holders = [...states].map(([instance, { active, staged }]) => ({
                instance,
                sets: new Set([active?.manifestDigest ?? [], staged.map(set => set.manifestDigest)].flat()),
            }));
            problems = holders
                .filter(({ sets }) => [...sets].some(held => held !== digest))
                .map(({ instance }) => `${instance}: holds weights that are not wanted`);
            const copies = holders.filter(({ sets }) => sets.has(digest)).length;
            if (copies !== countWantedCopies(topology)) {
                problems.push(`${copies} copies held, ${countWantedCopies(topology)} wanted`);
            }
            return problems.length === 0;
        });
    }
    catch {
        return problems;
    }
    return [];
}
