import type { StatusReport } from "../src/node/entry/index.js";
import type { EngineState, InstanceId, Milliseconds } from "../src/types/index.js";
import { sleep } from "../src/utils/index.js";
import { type Cluster, type ClusterRunner, sendJsonRequest } from "./cluster/index.js";

/** Running sampling of copies and configurations. */
export interface StateSampler {
    /**
     * Ends the sampling.
     *
     * @returns number of samples, and the violations that they showed, one line each
     */
    stop(): Promise<{ readonly samples: number; readonly broken: readonly string[]; }>;
}

const sampleInterval: Milliseconds = 500;

/** Tells from an engine's state whether the engine counts as a copy. */
type CopyPredicate = (state: EngineState) => boolean;

const copyStates: readonly (readonly [name: string, holds: CopyPredicate])[] = [
    ["serving", state => state.active !== undefined],
    ["held", state => state.active !== undefined || state.staged.length > 0],
];

/**
 * Samples all engines and entry instances until it is stopped, and checks two guarantees: no availability zone has more
 * engines that serve or hold weights than copies are wanted, and no entry instance goes back to an older revision.
 *
 * @param cluster - the cluster
 * @param wanted - wanted copies by availability zone
 * @returns the running sampler
 */
export function startStateSampler(cluster: Cluster, wanted: ReadonlyMap<string, number>): StateSampler {
    const engines = cluster.runners.filter(({ kind }) => kind === "model");
    const broken = new Set<string>();
    const revisions = new Map<string, number>();
    const stopping = new AbortController();
    let samples = 0;

    async function sampleCopies(): Promise<void> {
        const first = await readCopyFlags(engines);
        if (findExcessCopies(engines, first, wanted).length === 0) {
            return;
        }
        // Engines are read at different times, so one read may see a copy on two engines while it moves. Engines that
        // hold weights in both of two successive reads held them at the same time in between.
        const second = await readCopyFlags(engines);
        const answeredTwice = new Map([...first].filter(([instance]) => second.has(instance)));
        const states = new Map(
            [...answeredTwice].map(([instance, state]) => [instance, intersectFlags(state, second.get(instance)!)]),
        );
        findExcessCopies(engines, states, wanted).forEach(problem => broken.add(problem));
    }

    async function sampleRevisions(): Promise<void> {
        for (const { instance, url } of cluster.entries) {
            const response = await sendJsonRequest("GET", `${url}/operations/status`);
            const rows = response.status === 200 ? (response.body as StatusReport).deployments : [];
            for (const { deployment, revision } of rows) {
                const name = `${instance} ${deployment}`;
                if (revision < (revisions.get(name) ?? 0)) {
                    broken.add(`${name}: revision ${revision} in force after revision ${revisions.get(name)}`);
                }
                revisions.set(name, Math.max(revision, revisions.get(name) ?? 0));
            }
        }
    }

    async function run(): Promise<void> {
        while (!stopping.signal.aborted) {
            await Promise.all([sampleCopies(), sampleRevisions()]);
            samples += 1;
            await sleep(sampleInterval, stopping.signal);
        }
    }

    const running = run();
    return {
        stop: async () => {
            stopping.abort();
            await running;
            return { samples, broken: [...broken] };
        },
    };
}

/** Whether an engine counts as a copy, by the names of {@link copyStates}. */
type CopyFlags = Readonly<Record<string, boolean>>;

/**
 * Reads the states of engines.
 *
 * @param engines - runners of a model
 * @returns state of each engine that responded
 */
export async function readEngineStates(
    engines: readonly ClusterRunner[],
): Promise<ReadonlyMap<InstanceId, EngineState>> {
    const states = await Promise.all(engines.map(async ({ instance, backendUrl }) => {
        const response = await sendJsonRequest("GET", `${backendUrl}/state`);
        return response.status === 200 ? [[instance, response.body as EngineState] as const] : [];
    }));
    return new Map(states.flat());
}

async function readCopyFlags(engines: readonly ClusterRunner[]): Promise<ReadonlyMap<InstanceId, CopyFlags>> {
    const states = await readEngineStates(engines);
    return new Map(
        [...states].map(([instance, state]) =>
            [instance, Object.fromEntries(copyStates.map(([name, holds]) => [name, holds(state)]))] as const
        ),
    );
}

function intersectFlags(left: CopyFlags, right: CopyFlags): CopyFlags {
    return Object.fromEntries(copyStates.map(([name]) => [name, left[name] === true && right[name] === true]));
}

function findExcessCopies(
    engines: readonly ClusterRunner[],
    states: ReadonlyMap<InstanceId, CopyFlags>,
    wanted: ReadonlyMap<string, number>,
): string[] {
    return [...wanted].flatMap(([zone, limit]) =>
        copyStates.flatMap(([name]) => {
            const holders = engines.filter(engine =>
                engine.zone === zone && states.get(engine.instance)?.[name] === true
            );
            return holders.length <= limit ? [] : [
                `${zone}: ${holders.length} copies ${name}, ${limit} wanted (${
                    holders.map(({ instance }) => instance).join(", ")
                })`,
            ];
        })
    );
}
