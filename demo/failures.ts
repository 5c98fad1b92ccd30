import type { Milliseconds, RandomSource } from "../src/types/index.js";
import { sleep } from "../src/utils/index.js";
import { type Cluster, type Execution, type ProgramProcess, readExecutions } from "./cluster/index.js";
import { readEngineStates } from "./stateWatch.js";
import type { TransferMeter } from "./transferMeter.js";

/** What the kills need of the run. */
export interface KillContext {
    readonly cluster: Cluster;
    readonly meter: TransferMeter;
    readonly random: RandomSource;
    readonly report: (line: string) => void;
}

const downtime: Milliseconds = 1_000;

/**
 * Kills an agent, an engine and an entry instance with SIGKILL and starts them again after a moment. The platform's
 * instance list keeps them live.
 *
 * @param context - the running cluster
 * @returns what the killed engine had executed; its journal ends with it
 */
export async function killAndRestart(context: KillContext): Promise<readonly Execution[]> {
    const { cluster, meter, random, report } = context;
    const models = cluster.runners.filter(({ kind }) => kind === "model");
    const states = await readEngineStates(models);
    const serving = models.filter(({ instance }) => states.get(instance)?.active !== undefined);
    const first = Math.floor(random.next() * serving.length);
    const agentVictim = serving[first]!;
    const engineVictim = serving[(first + 1) % serving.length]!;
    const entryVictim = cluster.entries[Math.floor(random.next() * cluster.entries.length)]!;

    const journal = (await readExecutions(cluster)).filter(({ instance }) => instance === engineVictim.instance);
    await meter.keep(agentVictim);
    report(
        `kills the agent of ${agentVictim.instance}, the engine of ${engineVictim.instance} and the entry instance ` +
            entryVictim.instance,
    );
    await Promise.all([agentVictim.agent, engineVictim.backend, entryVictim.process].map(kill));
    await sleep(downtime);
    cluster.restartAgent(agentVictim);
    cluster.restartBackend(engineVictim);
    cluster.restartEntry(entryVictim);
    report("starts the three killed processes again");
    return journal;
}

async function kill(program: ProgramProcess): Promise<void> {
    program.signal("SIGKILL");
    await program.waitForExit();
}
