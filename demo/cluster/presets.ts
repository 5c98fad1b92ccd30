import { type Cluster, type ClusterOptions, startCluster } from "./cluster.js";
import { applyDeclaration, waitUntilServing } from "./operator.js";
import { sendJsonRequest } from "./requests.js";

/** Availability zones of the user Lone Star, each in its own region. */
export const loneStarZones = [
    { zone: "dfw-hall-a", region: "dallas" },
    { zone: "hou-hall-b", region: "houston" },
    { zone: "sat-hall-c", region: "san-antonio" },
] as const;

/** Content of a declaration. */
export interface DeclarationContent {
    readonly name: string;
    readonly kind: "model" | "service";
    /** Version of the weights `goldcrest:signs`; ignored for services. */
    readonly version?: number;
    /** Copies in each availability zone of Lone Star. */
    readonly replicas: readonly number[];
    /** Additional lines of the section `deployment`. */
    readonly lines?: readonly string[];
}

/**
 * Creates a declaration for Lone Star's availability zones.
 *
 * @param content - what to declare
 * @returns INI text
 */
export function createDeclaration(content: DeclarationContent): string {
    const weights = content.kind === "model" ?
        ["model = goldcrest", "adapter = signs", `version = ${content.version ?? 1}`] :
        [];
    return [
        "[deployment]",
        "schema = 2",
        `name = ${content.name}`,
        `kind = ${content.kind}`,
        ...weights,
        ...content.lines ?? [],
        "[replicas]",
        ...content.replicas.map((count, index) => `${loneStarZones[index]!.zone} = ${count}`),
        "",
    ].join("\n");
}

/**
 * Starts a cluster in Lone Star's availability zones with versions 1 and 2 of its weights.
 *
 * @param options - options that override the defaults: three entry instances and no backend servers
 * @returns the cluster
 */
export function startLoneStarCluster(options: Partial<ClusterOptions>): Promise<Cluster> {
    return startCluster({
        zones: loneStarZones,
        entries: 3,
        pools: [],
        weightSets: ["goldcrest:signs:1", "goldcrest:signs:2"],
        ...options,
    });
}

/**
 * Applies a declaration and waits until the deployment serves all wanted copies.
 *
 * @param cluster - the cluster
 * @param content - what to declare
 */
export async function deployAndWait(cluster: Cluster, content: DeclarationContent): Promise<void> {
    const { exitCode, lines } = await applyDeclaration(cluster, createDeclaration(content));
    if (exitCode !== 0) {
        throw new Error(`apply exited with code ${exitCode}: ${lines.join("; ")}`);
    }
    await waitUntilServing(cluster, content.name, 30_000);
}

/**
 * Lists the runners of a pool whose agents are ready to serve.
 *
 * @param cluster - the cluster
 * @param pool - the pool
 * @returns instance ids of the runners that are ready
 */
export async function listReadyInstances(cluster: Cluster, pool: string): Promise<string[]> {
    const runners = cluster.runners.filter(runner => runner.pool === pool);
    const responses = await Promise.all(runners.map(({ agentUrl }) => isReady(agentUrl)));
    return runners.filter((...[, index]) => responses[index]).map(({ instance }) => instance);
}

/** Waits only 500 ms, because a suspended process does not respond. */
async function isReady(agentUrl: string): Promise<boolean> {
    const response = await Promise.race([
        sendJsonRequest("GET", `${agentUrl}/ready`),
        new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), 500)),
    ]);
    return response?.status === 200;
}

/**
 * Makes a stand-in inject a fault.
 *
 * @param url - URL of the stand-in
 * @param rule - operation, kind and limits of the fault
 */
export async function addFault(url: string, rule: Readonly<Record<string, unknown>>): Promise<void> {
    const { status } = await sendJsonRequest("POST", `${url}/control/faults`, rule);
    if (status !== 204) {
        throw new Error(`fault was rejected with status ${status}`);
    }
}

/**
 * Removes all injected faults of a stand-in.
 *
 * @param url - URL of the stand-in
 */
export async function clearFaults(url: string): Promise<void> {
    await sendJsonRequest("DELETE", `${url}/control/faults`);
}
