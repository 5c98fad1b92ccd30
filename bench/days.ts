import { parseArgs } from "node:util";
import { policies } from "./days/policies.js";
import { scenarios } from "./days/scenarios.js";
import { simulateScenario } from "./days/simulation.js";
import type { ClassResult, ScenarioResult } from "./days/summary.js";

const { values } = parseArgs({
    options: { json: { type: "boolean", default: false }, seed: { type: "string", default: "1" } },
});

function formatShare(share: number): string {
    return (share * 100).toFixed(1).padStart(5);
}

function formatResult(result: ScenarioResult): string {
    const { timeToReplicas } = result;
    return [
        result.policy.padEnd(18),
        result.goodput.toFixed(1).padStart(7),
        formatShare(result.worth),
        formatShare(result.inAimShare),
        formatShare(result.answeredShare),
        formatShare(result.worstSecond),
        formatShare(result.worstAccount),
        formatShare(result.refusedShare),
        formatShare(result.resent),
        formatShare(result.returned),
        String(result.firstTokenP95).padStart(6),
        String(result.firstTokenP99).padStart(6),
        result.largestTenth.toFixed(2).padStart(5),
        timeToReplicas === undefined ? "    -" : (timeToReplicas / 1_000).toFixed(1).padStart(5),
    ].join("  ");
}

function formatClass([name, result]: [string, ClassResult]): string {
    const { answered, inAim, refused, refusedLate, refusedTwice } = result;
    return [`    ${name}`.padEnd(20), ...[inAim, answered, refused, refusedTwice, refusedLate].map(formatShare)].join(
        "  ",
    );
}

const seed = Number(values.seed);
const results = Object.entries(scenarios).flatMap(([scenario, createScenario]) =>
    Object.entries(policies).map(([name, createPolicy]) =>
        simulateScenario(scenario, createScenario(), name, createPolicy, seed)
    )
);

if (values.json) {
    console.log(JSON.stringify({ seed, results }));
}
else {
    const header = "first tokens on time /s; then %: worth, on time, answered, worst second, worst account, " +
        "refused, resent, returned; p95 and p99 time to first token in ms; on-time share of the largest tenth relative " +
        "to all; s until all replicas hold the version; " +
        "by class in %: on time, answered, refused, refused twice, refused after a wait of over an eighth of the target";
    console.log(`seed ${seed}: ${header}`);
    for (const scenario of Object.keys(scenarios)) {
        console.log(`\n${scenario}`);
        console.log(
            results.filter(result => result.day === scenario)
                .flatMap(result => [formatResult(result), ...Object.entries(result.classes).map(formatClass)]).join(
                    "\n",
                ),
        );
    }
}
