import { planLoad, type RolloutOptions } from "../../src/runtime/rollout/index.js";
import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import type { Engine } from "./engine.js";

/** Length of a day in virtual time. */
export const dayLength: Milliseconds = 30_000;

/** Second at which the trouble of a day begins. */
const troubleAt: Milliseconds = 10_000;

/** What a day can change. */
export interface DayWorld {
    readonly engines: readonly Engine[];
    readonly random: RandomSource;
}

/** Day of the emulator. */
export interface Scenario {
    /** Requests that arrive, as a share of what the engines can answer. */
    load(now: Milliseconds): number;
    /** Brings trouble about. */
    act(world: DayWorld, now: Milliseconds): void;
    /** Version that all engines are to hold at the end; time to N replicas counts from its declaration. */
    readonly wanted?: { readonly version: number; readonly declaredAt: Milliseconds; } | undefined;
}

const calmLoad = 0.55;

function isDuring(now: Milliseconds, from: Milliseconds, duration: Milliseconds): boolean {
    return now >= from && now < from + duration;
}

/** Time from the declaration to the last chunk, on the links of the users' sites. */
const transferTime: Milliseconds = 4_300;

const rollout: RolloutOptions = {
    waves: 3,
    firstWaveAfter: 3_300,
    waveInterval: 1_300,
    lastWaveAfter: 6_200,
    repeatAfter: 3_000,
    drainBeforeLoad: 1_000,
};

interface AgentRow {
    drainingSince: Milliseconds | undefined;
    orderedAt: Milliseconds | undefined;
}

/** Rollout of version 2 by the decision of the agents; the transfer is taken to be even. */
function createRollout(): Scenario {
    const rows = new Map<string, AgentRow>();
    const declaredAt = troubleAt;

    function decide(engine: Engine, members: readonly string[], now: Milliseconds): void {
        const row = rows.get(engine.instance) ?? { drainingSince: undefined, orderedAt: undefined };
        rows.set(engine.instance, row);
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
            model: "model",
            wanted: [{ version: 2, declaredAt }, { version: 1, declaredAt: 0 }],
            target: share === 1 ? 2 : 1,
            completedAt: share === 1 ? declaredAt + transferTime : undefined,
            transfer: share === 1 ? undefined : { version: 2, share },
            drainingSince: row.drainingSince,
            self: engine.instance,
            members,
            orderedAt: row.orderedAt,
            now,
            options: rollout,
        });
        if (decision.kind === "wait") {
            return;
        }
        row.drainingSince ??= now;
        engine.draining = true;
        const isDrained = engine.countOpen() === 0 || now - row.drainingSince >= rollout.drainBeforeLoad;
        if (decision.kind === "load" && isDrained) {
            row.orderedAt = now;
            engine.load(2, now);
        }
    }

    return {
        load: () => calmLoad,
        wanted: { version: 2, declaredAt },
        act: ({ engines }, now) => {
            const members = engines.map(({ instance }) => instance);
            for (const engine of now < declaredAt ? [] : engines) {
                if (engine.version < 2) {
                    decide(engine, members, now);
                }
            }
        },
    };
}

/** All engines lose their weights at once and have them back one after the other. */
function createMassRestart(): Scenario {
    let stopped = false;
    const backAfter = 4_000;
    return {
        load: () => calmLoad,
        wanted: { version: 1, declaredAt: troubleAt },
        act: ({ engines }, now) => {
            if (!stopped && now >= troubleAt) {
                stopped = true;
                engines.forEach(engine => engine.stop(now));
            }
            engines.forEach((engine, index) => {
                const loadAt = troubleAt + backAfter + index * 100;
                if (stopped && engine.version === 0 && now >= loadAt && now < loadAt + 10) {
                    engine.load(1, now);
                }
            });
        },
    };
}

const nothing = (): void => {};

/** Days by name; each call creates a fresh one. */
export const scenarios: Readonly<Record<string, () => Scenario>> = {
    calm: () => ({ load: () => calmLoad, act: nothing }),
    burst: () => ({ load: now => isDuring(now, troubleAt, 3_000) ? 1.6 : calmLoad, act: nothing }),
    overload: () => ({ load: now => isDuring(now, troubleAt, 12_000) ? 1.3 : calmLoad, act: nothing }),
    "slow server": () => ({
        load: () => calmLoad,
        act: ({ engines }, now) => {
            engines[0]!.slowness = isDuring(now, troubleAt, 10_000) ? 8 : 1;
        },
    }),
    "version change": createRollout,
    "mass restart": createMassRestart,
};
