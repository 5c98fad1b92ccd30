import { parseArgs } from "node:util";
import { policies } from "./routing/policies.js";
import { simulate, type SimulationResult } from "./routing/simulation.js";

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        check: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
    },
});

const loads = [0.7, 1.3];
const ownPolicy = "two choices with affinity";
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

/** Measures in which a baseline is better than our policy at the same load. */
function listMissed(results: readonly SimulationResult[]): string[] {
    const missed: string[] = [];
    for (const own of results.filter(({ policy }) => policy === ownPolicy)) {
        for (const other of results.filter(row => row.load === own.load && baselines.includes(row.policy))) {
            const place = `at ${own.load} of capacity than ${other.policy}`;
            if (own.timeToFirstTokenP95 > other.timeToFirstTokenP95) {
                missed.push(`p95 time to first token is longer ${place}`);
            }
            if (own.prefixHitShare < other.prefixHitShare) {
                missed.push(`prefix hit rate is lower ${place}`);
            }
            if (own.refusedShare > other.refusedShare) {
                missed.push(`refused share is higher ${place}`);
            }
        }
    }
    return missed;
}

const seed = Number(values.seed);
const results = loads.flatMap(load =>
    Object.entries(policies).map(([name, createPolicy]) => simulate(name, createPolicy, load, seed))
);
const missed = listMissed(results);

if (values.json) {
    console.log(JSON.stringify({ seed, results, missed }));
}
else {
    console.log(results.map(formatResult).join("\n"));
}
for (const target of values.check ? missed : []) {
    console.error(`missed target: ${target}`);
    process.exitCode = 1;
}
