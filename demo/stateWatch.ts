import type { StatusReport } from "../src/node/entry/index.js";
import type { EngineState, InstanceId, Milliseconds } from "../src/types/index.js";
import { sleep } from "../src/utils/index.js";
import { type Cluster, type ClusterRunner, sendJsonRequest } from "./cluster/index.js";

/** Samples of copies and configurations while the demo runs. */
export interface StateWatch {
    /** @returns number of samples and what was seen that must not be; ends the sampling */
    stop(): Promise<{ readonly samples: number; readonly broken: readonly string[]; }>;
}

const sampleInterval: Milliseconds = 500;

/** Tells from an engine's state whether it counts as a copy. */
type Holding = (state: EngineState) => boolean;

const kinds: readonly (readonly [name: string, holds: Holding])[] = [
    ["serving", state => state.active !== undefined],
    ["held", state => state.active !== undefined || state.staged.length > 0],
];

/**
 * Samples all engines and entry instances until it is stopped: in no availability zone may more engines serve or hold
 * weights than copies are wanted, and no entry instance may show an older revision than before.
 *
 * @param cluster - the cluster
 * @param wanted - wanted copies by availability zone
 * @returns the running watch
 */
export function startStateWatch(cluster: Cluster, wanted: ReadonlyMap<string, number>): StateWatch {
    const engines = cluster.runners.filter(({ kind }) => kind === "model");
    const broken = new Set<string>();
    const revisions = new Map<string, number>();
    const stopping = new AbortController();
    let samples = 0;

    async function sampleCopies(): Promise<void> {
        const first = await readEngines(engines);
        if (findSurplus(engines, first, wanted).length === 0) {
            return;
        }
        // Engines are read at different moments, so a copy that moves may be seen twice. Engines that hold weights in
        // two readings, one after the other, held them at the same time in between.
        const second = await readEngines(engines);
        const both = new Map([...first].filter(([instance]) => second.has(instance)));
        const states = new Map(
            [...both].map(([instance, state]) => [instance, intersect(state, second.get(instance)!)]),
        );
        findSurplus(engines, states, wanted).forEach(problem => broken.add(problem));
    }

    async function sampleRevisions(): Promise<void> {
        for (const { instance, url } of cluster.entries) {
            const answer = await sendJsonRequest("GET", `${url}/operations/status`);
            const rows = answer.status === 200 ? (answer.body as StatusReport).deployments : [];
            for (const { deployment, revision } of rows) {
                const name = `${instance} ${deployment}`;
                if (revision < (revisions.get(name) ?? 0)) {
                    broken.add(`${name}: revision ${revision} in force after ${revisions.get(name)}`);
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

type Held = Readonly<Record<string, boolean>>;

/**
 * Reads the state of engines.
 *
 * @param engines - runners of a model
 * @returns state of each engine that answered
 */
export async function readEngineStates(
    engines: readonly ClusterRunner[],
): Promise<ReadonlyMap<InstanceId, EngineState>> {
    const states = await Promise.all(engines.map(async ({ instance, backendUrl }) => {
        const answer = await sendJsonRequest("GET", `${backendUrl}/state`);
        return answer.status === 200 ? [[instance, answer.body as EngineState] as const] : [];
    }));
    return new Map(states.flat());
}

async function readEngines(engines: readonly ClusterRunner[]): Promise<ReadonlyMap<InstanceId, Held>> {
    const states = await readEngineStates(engines);
    return new Map(
        [...states].map(([instance, state]) =>
            [instance, Object.fromEntries(kinds.map(([name, holds]) => [name, holds(state)]))] as const
        ),
    );
}

function intersect(left: Held, right: Held): Held {
    return Object.fromEntries(kinds.map(([name]) => [name, left[name] === true && right[name] === true]));
}

function findSurplus(
    engines: readonly ClusterRunner[],
    states: ReadonlyMap<InstanceId, Held>,
    wanted: ReadonlyMap<string, number>,
): string[] {
    return [...wanted].flatMap(([zone, limit]) =>
        kinds.flatMap(([name]) => {
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
