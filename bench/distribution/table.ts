import type { TransferServiceOptions } from "../../src/node/agent/transfer/index.js";
import { type DeploymentName, deployments, readPlatformOptions } from "./deployments.js";
import { type RunPlan, type RunResult, simulateRun } from "./run.js";

/** Situation of the table. Times are in milliseconds. */
interface Situation {
    readonly faulty?: boolean;
    readonly replacedShare?: number;
    readonly simulation?: RunPlan["simulation"];
}

const outage = { from: 2_500, until: 8_500 };

/** Situations by name; the second version is named 2 s after the first, and the origin stops 0.5 s after that. */
const situations: Readonly<Record<string, Situation>> = {
    clean: {},
    faults: { faulty: true },
    "a third replaced": { replacedShare: 1 / 3 },
    "origin away 6 s": { simulation: { outage } },
    "two versions": { simulation: { namedAt: [0, 2_000] } },
    "two versions, origin away 6 s": { simulation: { namedAt: [0, 2_000], outage } },
};

/** Extent of the table. */
export interface TableExtent {
    readonly deployments: readonly DeploymentName[];
    readonly sizes: readonly number[];
    readonly seeds: readonly number[];
    /** Only situations whose name contains the text. */
    readonly only: string;
    /** Named sets of options, which override those of the platform's template. */
    readonly variants: Readonly<Record<string, TransferServiceOptions>>;
}

function computeMedian(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[values.length >> 1]!;
}

function formatRow(labels: readonly string[], results: readonly RunResult[]): string {
    const seconds = results.map(result => result.seconds ?? Infinity);
    const older = results.map(({ versions }) => versions!.length > 1 ? versions![0]!.completed : 0);
    return [
        ...labels.map((label, column) => label.padEnd([9, 4, 30, 20][column]!)),
        computeMedian(seconds).toFixed(2).padStart(7),
        Math.max(...seconds).toFixed(2).padStart(7),
        computeMedian(results.map(result => result.ratio ?? Infinity)).toFixed(2).padStart(7),
        computeMedian(results.map(({ originCopies }) => originCopies)).toFixed(2).padStart(7),
        computeMedian(results.map(({ linkCopiesMaximum }) => linkCopiesMaximum)).toFixed(2).padStart(7),
        `${computeMedian(older)}`.padStart(6),
    ].join(" ");
}

/**
 * Simulates the deployments with several numbers of agents and prints one line for each situation: median and longest time
 * to the last agent, the median as a multiple of the lower bound, copies sent by the origin, most copies on a link, and the
 * number of agents that completed the older of two versions.
 *
 * @param extent - what to simulate
 */
export function printTable({ deployments: names, only, seeds, sizes, variants }: TableExtent): void {
    console.log(`deployment agents situation, options, then seconds, longest, /bound, origin, link, older`);
    for (const name of names) {
        const { deadline, scale, zoneBytesPerSecond } = deployments[name];
        const options = { ...readPlatformOptions(), linkBytesPerSecond: scale.linkBytesPerSecond };
        for (const agents of sizes) {
            for (const [label, situation] of Object.entries(situations).filter(([label]) => label.includes(only))) {
                for (const [variant, changes] of Object.entries(variants)) {
                    const results = seeds.map(seed =>
                        simulateRun({
                            method: "swarm",
                            objective: "origin-bytes",
                            faulty: situation.faulty ?? false,
                            agents,
                            scale,
                            options: { ...options, ...changes },
                            seed,
                            replacedShare: situation.replacedShare ?? 0,
                            simulation: {
                                zoneBytesPerSecond,
                                target: { copyTime: 5_000, cutoverAfter: deadline },
                                ...situation.simulation,
                            },
                        })
                    );
                    console.log(formatRow([name, `${agents}`, label, variant], results));
                }
            }
        }
    }
}
