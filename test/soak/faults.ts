import type { RandomSource } from "../../src/types/index.js";
import type { StagingEngine } from "../platform/standIn/stagingEngine.js";
import { chunkCount } from "../platform/standIn/testWeights.js";
import type { Program } from "./programs.js";

/** Kinds of faults that a soak can draw. */
export type FaultKind =
    | "corrupt-chunks"
    | "late-orders"
    | "stall-at-order"
    | "stall-engine"
    | "late-writes"
    | "freeze-agent"
    | "freeze-machine"
    | "kill-agent"
    | "stop-agent"
    | "kill-gateway"
    | "stop-gateway"
    | "crash-engine"
    | "power-loss";

/** What faults act on. */
export interface FaultTargets {
    readonly engines: readonly StagingEngine[];
    /** Agents, in the order of their engines. */
    readonly agents: readonly Program[];
    readonly gateways: readonly Program[];
}

/** Fault at a time, with the random numbers that determine its target and its details. */
export interface PlannedFault {
    readonly at: number;
    readonly kind: FaultKind;
    readonly random: RandomSource;
}

/** Mean time between two faults of each kind, in milliseconds. */
export type FaultIntervals = Readonly<Partial<Record<FaultKind, number>>>;

/** Faults of a soak. */
export interface FaultMix {
    readonly faults: FaultIntervals;
    /** Shortest and longest time between two versions. Default: 1.5 to 8.5 s */
    readonly versionInterval?: readonly [number, number];
}

const agentFaults: FaultIntervals = { "freeze-agent": 9_000, "kill-agent": 9_000, "stop-agent": 12_000 };
const lateOrders: FaultIntervals = { "late-orders": 3_000, "stall-at-order": 4_000, "stall-engine": 8_000 };
const lateWrites: FaultIntervals = { "late-writes": 700, "kill-agent": 5_000 };

/** Mixes of faults by name. */
export const faultMixes: Readonly<Record<string, FaultMix>> = {
    none: { faults: {} },
    "late-orders": { faults: { ...lateOrders, "corrupt-chunks": 5_000 } },
    "late-writes": { faults: lateWrites, versionInterval: [1_500, 4_000] },
    "corrupt-chunks": { faults: { "corrupt-chunks": 1_500, "stall-at-order": 6_000, "freeze-agent": 9_000 } },
    "late-orders-agents": { faults: { ...lateOrders, ...agentFaults, "corrupt-chunks": 5_000 } },
    "late-writes-crashes": {
        faults: { ...lateWrites, "crash-engine": 8_000, "power-loss": 20_000 },
        versionInterval: [1_500, 4_000],
    },
    all: {
        faults: {
            ...lateOrders,
            ...agentFaults,
            "corrupt-chunks": 4_000,
            "late-writes": 2_000,
            "freeze-machine": 12_000,
            "kill-gateway": 15_000,
            "stop-gateway": 15_000,
            "crash-engine": 12_000,
            "power-loss": 20_000,
        },
    },
};

/** Draws a duration, in milliseconds. */
export function drawDuration(random: RandomSource, minimum: number, maximum: number): number {
    return minimum + random.next() * (maximum - minimum);
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}

function drawChunks(random: RandomSource): readonly number[] {
    return Array.from({ length: 3 }, () => Math.floor(random.next() * chunkCount));
}

const drawStall = (random: RandomSource): number => drawDuration(random, 500, 6_500);
const drawDowntime = (random: RandomSource): number => drawDuration(random, 200, 1_500);

const faultActions: Readonly<Record<FaultKind, (targets: FaultTargets, random: RandomSource) => unknown>> = {
    "corrupt-chunks": ({ engines }, random) => pick(random, engines).corrupt(drawChunks(random)),
    "late-orders": ({ engines }, random) => pick(random, engines).delayOrders(drawStall(random), drawStall(random)),
    "stall-at-order": ({ engines }, random) =>
        pick(random, engines).stallAtNextOrder(drawStall(random), random.next() < 0.5 ? drawChunks(random) : []),
    "stall-engine": ({ engines }, random) => pick(random, engines).stall(drawStall(random)),
    "late-writes": ({ engines }, random) =>
        pick(random, engines).delayWrites(
            2_000,
            () => random.next() < 0.3 ? drawDuration(random, 300, 3_800) : 0,
        ),
    "freeze-agent": ({ agents }, random) => pick(random, agents).freeze(drawStall(random)),
    "freeze-machine": ({ agents, engines }, random) => {
        const index = Math.floor(random.next() * engines.length);
        const duration = drawStall(random);
        engines[index]!.stall(duration);
        return agents[index]!.freeze(duration);
    },
    "kill-agent": ({ agents }, random) => pick(random, agents).restart("SIGKILL", drawDowntime(random)),
    "stop-agent": ({ agents }, random) => pick(random, agents).restart("SIGTERM", drawDowntime(random)),
    "kill-gateway": ({ gateways }, random) => pick(random, gateways).restart("SIGKILL", drawDowntime(random)),
    "stop-gateway": ({ gateways }, random) => pick(random, gateways).restart("SIGTERM", drawDowntime(random)),
    "crash-engine": ({ engines }, random) => pick(random, engines).restart(drawDowntime(random), false),
    "power-loss": ({ engines }, random) => pick(random, engines).restart(drawDowntime(random), true),
};

/**
 * Draws faults for a time. Each kind is drawn on its own, so that faults overlap.
 *
 * @param intervals - kinds of faults and how often they occur
 * @param duration - time in milliseconds
 * @param createRandom - creates a random source for a kind and the number of a fault
 * @returns the faults, in the order of their times
 */
export function planFaults(
    intervals: FaultIntervals,
    duration: number,
    createRandom: (kind: string, number: number) => RandomSource,
): readonly PlannedFault[] {
    const planned = Object.entries(intervals).flatMap(([kind, interval]) => {
        const faults: PlannedFault[] = [];
        const times = createRandom(kind, 0);
        for (let at = times.next() * interval; at < duration; at += interval * (0.3 + 1.4 * times.next())) {
            faults.push({ at, kind: kind as FaultKind, random: createRandom(kind, faults.length + 1) });
        }
        return faults;
    });
    return planned.sort((left, right) => left.at - right.at);
}

/** Lets a planned fault act. */
export async function applyFault({ kind, random }: PlannedFault, targets: FaultTargets): Promise<void> {
    await faultActions[kind](targets, random);
}
