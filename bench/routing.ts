import { parseArgs } from "node:util";
import { heavyTailCases, heavyTailPolicies, type HeavyTailResult, simulateHeavyTail } from "./routing/heavyTail.js";
import { policies } from "./routing/policies.js";
import { simulate, type SimulationResult } from "./routing/simulation.js";

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        check: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
    },
});

const loads = [0.7, 1.3];
const testedPolicy = "two choices with affinity";
const baselines = ["round robin", "least reported load"];

function formatResult(result: SimulationResult): string {
    return [
        `${result.policy} at ${result.load} of capacity, ${result.requests} requests:`,
        `time to first token p50 ${result.timeToFirstTokenP50} ms, p95 ${result.timeToFirstTokenP95} ms,`,
        `prefix hits ${(result.prefixHitShare * 100).toFixed(1)} %, refused ${
            (result.refusedShare * 100).toFixed(1)
        } %`,
    ].join(" ");
}

function formatHeavyTail(result: HeavyTailResult): string {
    const percent = (share: number) => `${(share * 100).toFixed(1).padStart(5)} %`;
    return [
        `${result.name}, ${result.policy}, ${result.requests} requests:`.padEnd(58),
        `in target ${percent(result.inTargetShare)}, refused ${percent(result.refusedShare)},`,
        `first event p50 ${result.firstEventP50} ms, p99 ${result.firstEventP99} ms, end p99 ${result.endP99} ms,`,
        `largest tenth ${result.largestTenth.toFixed(2)} of all`,
    ].join(" ");
}

/** Lists the measures in which a baseline is better than the tested policy at the same load. */
function listMissedTargets(results: readonly SimulationResult[]): string[] {
    const missed: string[] = [];
    for (const tested of results.filter(({ policy }) => policy === testedPolicy)) {
        for (const baseline of results.filter(row => row.load === tested.load && baselines.includes(row.policy))) {
            const comparison = `at ${tested.load} of capacity than ${baseline.policy}`;
            if (tested.timeToFirstTokenP95 > baseline.timeToFirstTokenP95) {
                missed.push(`p95 time to first token is longer ${comparison}`);
            }
            if (tested.prefixHitShare < baseline.prefixHitShare) {
                missed.push(`prefix hit rate is lower ${comparison}`);
            }
            if (tested.refusedShare > baseline.refusedShare) {
                missed.push(`refused share is higher ${comparison}`);
            }
        }
    }
    return missed;
}

const seed = Number(values.seed);
const results = loads.flatMap(load =>
    Object.entries(policies).map(([name, createPolicy]) => simulate(name, createPolicy, load, seed))
);
const missed = listMissedTargets(results);
const heavyTail = [...Array(Number(values.seeds)).keys()].flatMap(index =>
    Object.entries(heavyTailCases).flatMap(([name, testedCase]) =>
        Object.entries(heavyTailPolicies).map(([policy, options]) => ({
            seed: seed + index,
            ...simulateHeavyTail(name, testedCase, policy, options, seed + index),
        }))
    )
);

if (values.json) {
    console.log(JSON.stringify({ seed, results, heavyTail, missed }));
}
else {
    console.log(results.map(formatResult).join("\n"));
    console.log(heavyTail.map(result => `seed ${result.seed}, ${formatHeavyTail(result)}`).join("\n"));
}
for (const target of values.check ? missed : []) {
    console.error(`missed target: ${target}`);
    process.exitCode = 1;
}
