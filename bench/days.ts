import { parseArgs } from "node:util";
import { policies } from "./days/policies.js";
import { scenarios } from "./days/scenarios.js";
import { playDay } from "./days/simulation.js";
import type { DayResult } from "./days/summary.js";

const { values } = parseArgs({
    options: { json: { type: "boolean", default: false }, seed: { type: "string", default: "1" } },
});

function formatShare(share: number): string {
    return (share * 100).toFixed(1).padStart(5);
}

function formatResult(result: DayResult): string {
    const { inAimByClass, timeToReplicas } = result;
    return [
        result.policy.padEnd(18),
        result.goodput.toFixed(1).padStart(7),
        formatShare(result.worth),
        formatShare(result.inAimShare),
        formatShare(result.answeredShare),
        formatShare(result.worstSecond),
        formatShare(inAimByClass.urgent),
        formatShare(inAimByClass.other),
        formatShare(result.worstAccount),
        formatShare(result.refusedShare),
        formatShare(result.resent),
        formatShare(result.returned),
        String(result.firstTokenP95).padStart(6),
        timeToReplicas === undefined ? "    -" : (timeToReplicas / 1_000).toFixed(1).padStart(5),
    ].join("  ");
}

const seed = Number(values.seed);
const results = Object.entries(scenarios).flatMap(([day, createScenario]) =>
    Object.entries(policies).map(([name, createPolicy]) => playDay(day, createScenario(), name, createPolicy, seed))
);

if (values.json) {
    console.log(JSON.stringify({ seed, results }));
}
else {
    const header =
        "in aim /s, then %: worth, in aim, answered, worst second, urgent, other, worst account, refused, resent, returned; " +
        "p95 first token ms; s to replicas";
    console.log(`seed ${seed}: ${header}`);
    for (const day of Object.keys(scenarios)) {
        console.log(`\n${day}`);
        console.log(results.filter(result => result.day === day).map(formatResult).join("\n"));
    }
}
