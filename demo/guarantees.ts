import type { Milliseconds } from "../src/types/index.js";
import {
    type Cluster,
    type Execution,
    findBrokenGuarantees,
    type LoadRecord,
    sendJsonRequest,
    waitUntil,
} from "./cluster/index.js";
import { readEngineStates } from "./stateSampler.js";
import { countWantedCopies, type Topology } from "./topologies.js";

const unloadTimeLimit: Milliseconds = 10_000;

/**
 * Finds requests that ran on other weights than those of the version that the response named.
 *
 * @param records - requests of the load
 * @param executions - executions of all backend servers
 * @param digests - manifest digest by version
 * @returns one line for each such request
 */
export function findVersionMismatches(
    records: readonly LoadRecord[],
    executions: readonly Execution[],
    digests: ReadonlyMap<string, string>,
): string[] {
    const digestsByRequest = new Map<string, Set<string>>();
    for (const { requestId, manifestDigest } of executions.filter(({ manifestDigest = "" }) => manifestDigest !== "")) {
        digestsByRequest.set(requestId, (digestsByRequest.get(requestId) ?? new Set()).add(manifestDigest ?? ""));
    }
    return records
        .filter(({ result, version }) => result === "answered" && version !== "")
        .filter(({ requestId, version }) => {
            const expected = digests.get(version);
            const found = digestsByRequest.get(requestId);
            // Without an execution the weights are not known: a killed backend server loses its journal.
            return expected === undefined || found !== undefined && !found.has(expected);
        })
        .map(({ requestId, version }) => `${requestId}: answered as version ${version}, but ran on other weights`);
}

/**
 * Describes each violation of a guarantee in one line.
 *
 * @param records - requests of the load
 * @param executions - executions of all backend servers
 * @param digests - manifest digest by version
 * @returns the lines; empty if there was no violation
 */
export function describeBrokenGuarantees(
    records: readonly LoadRecord[],
    executions: readonly Execution[],
    digests: ReadonlyMap<string, string>,
): string[] {
    const { wrongAnswers, refusedButRun, executedTwice } = findBrokenGuarantees(records, executions);
    return [
        ...wrongAnswers.map(({ requestId, deployment }) =>
            `${requestId}: wrong or incomplete response from ${deployment}`
        ),
        ...refusedButRun.map(({ requestId, reason }) => `${requestId}: refused as not run (${reason}), but ran`),
        ...executedTwice.map(key => `key ${key}: executed more than once`),
        ...findVersionMismatches(records, executions, digests),
    ];
}

/**
 * Reads the manifest digests of versions of the model.
 *
 * @param cluster - the cluster
 * @param model - name of the model
 * @param versions - versions in the weight store
 * @returns digest by version
 */
export async function readDigests(
    cluster: Cluster,
    model: string,
    versions: readonly string[],
): Promise<ReadonlyMap<string, string>> {
    const digests = await Promise.all(versions.map(async version => {
        const response = await sendJsonRequest(
            "GET",
            `${cluster.platformUrl}/manifests?model=${model}&adapter=&version=${version}`,
        );
        return [version, String(response.headers["x-manifest-digest"])] as const;
    }));
    return new Map(digests);
}

/**
 * Waits until the engines hold the wanted number of copies of one version and no other weights.
 *
 * @param cluster - the cluster
 * @param topology - the user's topology
 * @param digest - manifest digest of the version
 * @returns what is still wrong after ten seconds: one line for each engine that holds other weights, and one if the
 * number of copies is wrong; otherwise empty
 */
export async function findLeftoverCopies(cluster: Cluster, topology: Topology, digest: string): Promise<string[]> {
    const modelRunners = cluster.runners.filter(({ kind }) => kind === "model");
    let problems: string[] = [];
    try {
        await waitUntil("engines hold only the wanted copies", unloadTimeLimit, async () => {
            const states = await readEngineStates(modelRunners);
            const holders = [...states].map(([instance, { active, staged }]) => ({
                instance,
                sets: new Set([active?.manifestDigest ?? [], staged.map(set => set.manifestDigest)].flat()),
            }));
            problems = holders
                .filter(({ sets }) => [...sets].some(held => held !== digest))
                .map(({ instance }) => `${instance}: holds unwanted weights`);
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
