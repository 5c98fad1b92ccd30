import type { RunResult } from "./run.js";

/** Largest value that is allowed for a result of a run. */
interface Target {
    readonly name: string;
    readonly limit: number;
    readonly applies: (result: RunResult) => boolean;
    /** Returns the measured value; infinite if the run did not finish. */
    readonly read: (result: RunResult) => number;
}

const readRatio = (result: RunResult) => result.ratio ?? Infinity;
const readOrigin = (result: RunResult) => result.originCopies;

/** Targets of section 9 of the design. */
const targets: readonly Target[] = [
    {
        name: "time to N / bound",
        limit: 1.3,
        applies: ({ faulty, objective }) => objective === "time" && !faulty,
        read: readRatio,
    },
    { name: "origin copies", limit: 4, applies: ({ objective }) => objective === "time", read: readOrigin },
    {
        name: "origin copies",
        limit: 1.1,
        applies: ({ faulty, objective }) => objective === "origin-bytes" && !faulty,
        read: readOrigin,
    },
    { name: "copies on one link", limit: 2.2, applies: () => true, read: result => result.linkCopiesMaximum },
    { name: "time to N / bound with faults", limit: 1.6, applies: ({ faulty }) => faulty, read: readRatio },
    {
        name: "origin copies with faults",
        limit: 1.5,
        applies: ({ faulty, objective }) => objective === "origin-bytes" && faulty,
        read: readOrigin,
    },
    {
        name: "live request p95 / quiet",
        limit: 1.2,
        applies: ({ liveRatio }) => liveRatio !== undefined,
        read: result => result.liveRatio ?? Infinity,
    },
];

/**
 * Compares runs of the swarm with the targets; baselines have none.
 *
 * @param results - measured runs
 * @returns one line for each missed target
 */
export function listMissedTargets(results: readonly RunResult[]): string[] {
    return results.filter(({ method }) => method === "swarm").flatMap(result =>
        targets
            .filter(target => target.applies(result) && !(target.read(result) <= target.limit))
            .map(target => {
                const run = `${result.objective}, ${result.faulty ? "with faults" : "clean"}`;
                return `${run}: ${target.name} is ${target.read(result).toFixed(2)}, target ${target.limit}`;
            })
    );
}
