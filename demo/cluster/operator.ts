import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { StatusReport } from "../../src/node/entry/index.js";
import type { Milliseconds } from "../../src/types/index.js";
import type { Cluster } from "./cluster.js";
import { startProgram } from "./programProcess.js";
import { sendJsonRequest, waitUntil } from "./requests.js";

/** Result of an operator command. */
export interface CommandResult {
    readonly exitCode: number;
    /** Lines of standard output and standard error. */
    readonly lines: readonly string[];
}

/**
 * Runs an operator command against a cluster.
 *
 * @param cluster - the cluster
 * @param commandArguments - command-line arguments
 * @returns exit code and output
 */
export async function runOperatorCommand(
    cluster: Cluster,
    commandArguments: readonly string[],
): Promise<CommandResult> {
    const program = startProgram(commandArguments.join(" "), commandArguments, cluster.operatorSettings);
    const exitCode = await program.waitForExit();
    return { exitCode, lines: program.lines };
}

/**
 * Writes a declaration to a temporary file and runs the command `apply` with it.
 *
 * @param cluster - the cluster
 * @param declaration - INI text of the declaration
 * @param commandArguments - further command-line arguments
 * @returns exit code and output
 */
export async function applyDeclaration(
    cluster: Cluster,
    declaration: string,
    commandArguments: readonly string[] = [],
): Promise<CommandResult> {
    const folder = await mkdtemp(join(tmpdir(), "goldcrestpoint-"));
    const file = join(folder, "deployment.ini");
    await writeFile(file, declaration);
    try {
        return await runOperatorCommand(cluster, ["apply", file, ...commandArguments]);
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

/**
 * Reads the status from the first entry instance that responds.
 *
 * @param cluster - the cluster
 * @returns the status; undefined if none responds
 */
export async function readStatus(cluster: Cluster): Promise<StatusReport | undefined> {
    for (const { url } of cluster.entries) {
        const response = await sendJsonRequest("GET", `${url}/operations/status`);
        if (response.status === 200) {
            return response.body as StatusReport;
        }
    }
    return undefined;
}

/**
 * Waits until a deployment has exactly the wanted number of serving copies in each availability zone.
 *
 * @param cluster - the cluster
 * @param deployment - name of the deployment
 * @param timeLimit - time after which the wait fails
 */
export async function waitUntilServing(cluster: Cluster, deployment: string, timeLimit: Milliseconds): Promise<void> {
    let last: unknown;
    try {
        await waitUntil(`${deployment} serves`, timeLimit, async () => {
            const status = await readStatus(cluster);
            const row = status?.deployments.find(candidate => candidate.deployment === deployment);
            last = row?.zones;
            return row !== undefined && row.zones.every(zone => zone.serving === zone.wanted);
        });
    }
    catch (error) {
        throw new Error(`${String(error)}; last status: ${JSON.stringify(last)}`, { cause: error });
    }
}
