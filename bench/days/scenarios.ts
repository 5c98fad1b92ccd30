import { planLoad, type RolloutOptions } from "../../src/runtime/rollout/index.js";
import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import type { Engine } from "./engine.js";
import { heavyTailScenarios } from "./heavyTail.js";
import { engravingClasses, type RequestClass } from "./parameters.js";

/** Duration of a scenario in virtual time. */
export const scenarioDuration: Milliseconds = 30_000;

/** Time at which the disturbance of a scenario begins. */
const disturbanceStart: Milliseconds = 10_000;

/** State that a scenario can change. */
export interface ScenarioContext {
    readonly engines: readonly Engine[];
    readonly random: RandomSource;
}

/** Size of a request, and the length of its answer that the caller states. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly statedTokens?: number | undefined;
}

/** Load and disturbances of a simulated period; the output of the benchmark calls it a day. */
export interface Scenario {
    /** Offered load as a share of the engines' capacity. */
    load(now: Milliseconds): number;
    /** Classes of the load. Default: those of the other scenarios. */
    readonly classes?: readonly RequestClass[] | undefined;
    /** Applies the disturbance to the engines; called in every tick. */
    updateEngines(context: ScenarioContext, now: Milliseconds): void;
    /** Version that all engines should hold at the end; the time to replicas is counted from its declaration. */
    readonly wanted?: { readonly version: number; readonly declaredAt: Milliseconds; } | undefined;
    /** Draws the size of a request. Default: prompt and answer are exponentially distributed. */
    readonly sampleRequest?: ((random: RandomSource) => RequestSize) | undefined;
}

const calmLoad = 0.55;

function isDuring(now: Milliseconds, from: Milliseconds, duration: Milliseconds): boolean {
    return now >= from && now < from + duration;
}

/** Time from the declaration of a version until its last chunk has arrived, on the links of the users' sites. */
const transferTime: Milliseconds = 4_300;

const rollout: RolloutOptions = {
    waves: 3,
    firstWaveAfter: 3_300,
    waveInterval: 1_300,
    lastWaveAfter: 6_200,
    repeatAfter: 3_000,
    drainBeforeLoad: 1_000,
};

interface AgentState {
    drainingSince: Milliseconds | undefined;
    orderedAt: Milliseconds | undefined;
}

/** All engines change to version 2, as the agents decide; the transfer is assumed to progress at a constant rate. */
function createVersionChange(): Scenario {
    const states = new Map<string, AgentState>();
    const declaredAt = disturbanceStart;

    function advanceRollout(engine: Engine, members: readonly string[], now: Milliseconds): void {
        const state = states.get(engine.instance) ?? { drainingSince: undefined, orderedAt: undefined };
        states.set(engine.instance, state);
        const share = Math.min(1, (now - declaredAt) / transferTime);
        const decision = planLoad({
            report: {
                startedAt: 1,
                weights: { model: "model", version: engine.version, complete: true },
                busy: engine.report().phase === "activating" && !engine.draining,
                orderSequence: 0,
                running: engine.countOpen(),
                queued: 0,
            },
            loadedState: "verified",
            model: "model",
            wanted: [{ version: 2, declaredAt }, { version: 1, declaredAt: 0 }],
            target: share === 1 ? 2 : 1,
            completedAt: share === 1 ? declaredAt + transferTime : undefined,
            transfer: share === 1 ? undefined : { version: 2, share },
            drainingSince: state.drainingSince,
            self: engine.instance,
            members,
            orderedAt: state.orderedAt,
            now,
            options: rollout,
        });
        if (decision.kind === "wait") {
            return;
        }
        state.drainingSince ??= now;
        engine.draining = true;
        const isDrained = engine.countOpen() === 0 || now - state.drainingSince >= rollout.drainBeforeLoad;
        if (decision.kind === "load" && isDrained) {
            state.orderedAt = now;
            engine.load(2, now);
        }
    }

    return {
        load: () => calmLoad,
        wanted: { version: 2, declaredAt },
        updateEngines: ({ engines }, now) => {
            const members = engines.map(({ instance }) => instance);
            for (const engine of now < declaredAt ? [] : engines) {
                if (engine.version < 2) {
                    advanceRollout(engine, members, now);
                }
            }
        },
    };
}

/** All engines stop at the same time, lose their weights and reload them one after the other. */
function createMassRestart(): Scenario {
    let stopped = false;
    const reloadAfter = 4_000;
    return {
        load: () => calmLoad,
        wanted: { version: 1, declaredAt: disturbanceStart },
        updateEngines: ({ engines }, now) => {
            if (!stopped && now >= disturbanceStart) {
                stopped = true;
                engines.forEach(engine => engine.stop(now));
            }
            engines.forEach((engine, index) => {
                const loadAt = disturbanceStart + reloadAfter + index * 100;
                if (stopped && engine.version === 0 && now >= loadAt && now < loadAt + 10) {
                    engine.load(1, now);
                }
            });
        },
    };
}

const doNothing = (): void => {};

/** The mix of the engraving deployment, with more load than its engines can take for some time. */
function createEngravingLoad(share: number, duration: Milliseconds): Scenario {
    return {
        classes: engravingClasses,
        load: now => isDuring(now, disturbanceStart, duration) ? share : calmLoad,
        updateEngines: doNothing,
    };
}

/** Creates a scenario with its initial state, by name. */
export const scenarios: Readonly<Record<string, () => Scenario>> = {
    calm: () => ({ load: () => calmLoad, updateEngines: doNothing }),
    burst: () => ({ load: now => isDuring(now, disturbanceStart, 3_000) ? 1.6 : calmLoad, updateEngines: doNothing }),
    overload: () => ({
        load: now => isDuring(now, disturbanceStart, 12_000) ? 1.3 : calmLoad,
        updateEngines: doNothing,
    }),
    "slow server": () => ({
        load: () => calmLoad,
        updateEngines: ({ engines }, now) => {
            engines[0]!.slowness = isDuring(now, disturbanceStart, 10_000) ? 8 : 1;
        },
    }),
    "version change": createVersionChange,
    "mass restart": createMassRestart,
    "engraving burst": () => createEngravingLoad(2, 2_000),
    "engraving at 1.3": () => createEngravingLoad(1.3, 15_000),
    "engraving at 2": () => createEngravingLoad(2, 15_000),
    ...heavyTailScenarios,
};
