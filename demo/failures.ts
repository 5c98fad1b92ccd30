import type { Milliseconds, RandomSource } from "../src/types/index.js";
import { sleep } from "../src/utils/index.js";
import { type Cluster, type Execution, type ProgramProcess, readExecutions } from "./cluster/index.js";
import { readEngineStates } from "./stateSampler.js";
import type { TransferMeter } from "./transferMeter.js";

/** Dependencies of {@link killAndRestart}. */
export interface KillContext {
    readonly cluster: Cluster;
    readonly meter: TransferMeter;
    readonly random: RandomSource;
    /** Prints one line of progress. */
    readonly report: (line: string) => void;
}

const downtime: Milliseconds = 1_000;

/**
 * Kills an agent, an engine and an entry instance with SIGKILL and starts them again after a second. The platform's
 * instance list lists them as live all the time.
 *
 * @param context - the cluster and its transfer meter
 * @returns executions of the killed engine, which loses its journal
 */
export async function killAndRestart(context: KillContext): Promise<readonly Execution[]> {
    const { cluster, meter, random, report } = context;
    const modelRunners = cluster.runners.filter(({ kind }) => kind === "model");
    const states = await readEngineStates(modelRunners);
    const servingRunners = modelRunners.filter(({ instance }) => states.get(instance)?.active !== undefined);
    const firstIndex = Math.floor(random.next() * servingRunners.length);
    const agentTarget = servingRunners[firstIndex]!;
    const engineTarget = servingRunners[(firstIndex + 1) % servingRunners.length]!;
    const entryTarget = cluster.entries[Math.floor(random.next() * cluster.entries.length)]!;

    const executions = (await readExecutions(cluster)).filter(({ instance }) => instance === engineTarget.instance);
    await meter.keep(agentTarget);
    report(
        `killing the agent of ${agentTarget.instance}, the engine of ${engineTarget.instance} and the entry instance ` +
            entryTarget.instance,
    );
    await Promise.all([agentTarget.agent, engineTarget.backend, entryTarget.process].map(kill));
    await sleep(downtime);
    cluster.restartAgent(agentTarget);
    cluster.restartBackend(engineTarget);
    cluster.restartEntry(entryTarget);
    report("restarting the three killed processes");
    return executions;
}

async function kill(program: ProgramProcess): Promise<void> {
    program.signal("SIGKILL");
    await program.waitForExit();
}
