import { execFile } from "node:child_process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../", import.meta.url));

interface Sampling {
    readonly file: string;
    readonly module: string;
    readonly invariants: readonly string[];
    /** Action that sets the first state of each run. Default: `init`. */
    readonly init?: string;
    readonly seed: string;
    readonly samples: number;
    readonly steps: number;
}

interface SamplingResult {
    readonly exitCode: number | string;
    readonly output: string;
}

/** Runs Quint's simulator with the TypeScript back end, the only one that the npm package contains. */
function sample(sampling: Sampling): Promise<SamplingResult> {
    const { file, module, invariants, init = "init", seed, samples, steps } = sampling;
    const options = [
        "run",
        "--backend=typescript",
        `--main=${module}`,
        `--init=${init}`,
        `--seed=${seed}`,
        `--max-samples=${samples}`,
        `--max-steps=${steps}`,
        `specs/${file}.qnt`,
        "--invariants",
        ...invariants,
    ];
    return new Promise(resolve => {
        const limits = { cwd: root, maxBuffer: 16 * 1024 * 1024 };
        execFile("node_modules/.bin/quint", options, limits, (error, stdout, stderr) => {
            resolve({ exitCode: error?.code ?? 0, output: `${stdout}\n${stderr}` });
        });
    });
}

async function expectOutcome(sampling: Sampling, marker: "[ok]" | "[violation]"): Promise<void> {
    const { exitCode, output } = await sample(sampling);
    const expectedCode = marker === "[ok]" ? 0 : 1;
    if (!output.includes(marker) || exitCode !== expectedCode) {
        const { file, module, seed } = sampling;
        throw new Error(`specs/${file}.qnt, module ${module}, seed ${seed}: expected ${marker}\n${output}`);
    }
}

const placement = { file: "placementFencing", invariants: ["noExtraCopy", "neverReverts"], steps: 24 };
const orders = { file: "engineOrders", invariants: ["predecessorNeverWins", "olderNeverWins"], steps: 20 };
const slowOrders = { ...orders, invariants: ["olderNeverWins"] };
const staged = { file: "stagedWeights", invariants: ["noWrongTokens"], steps: 24 };
/** First states of runs of the design with a staging area. */
const stagedInits = [
    "init",
    "initVerified",
    "initWritten",
    "initOrdered",
    "initRepeated",
    "initOrderedAfterRestart",
    "initPredecessor",
];
const atMostOnce = { file: "atMostOnce", invariants: ["runsAtMostOnce", "refusalsHold"], steps: 20 };

const restartedWitness = { ...placement, init: "initRestartedWitness" };

const designs = [
    { ...placement, module: "placementDesign", samples: 120, seeds: ["1", "70000000"] },
    { ...restartedWitness, module: "placementDesign", samples: 80, seeds: ["140000000"] },
    { ...atMostOnce, module: "atMostOnceDesign", samples: 150, seeds: ["1", "70000000"] },
    { ...orders, module: "ignoringEngine", samples: 100, seeds: ["1", "70000000"] },
    { ...orders, module: "checkingEngine", samples: 100, seeds: ["1", "70000000"] },
    { ...slowOrders, module: "checkingEngineSlowOrders", samples: 100, seeds: ["1", "70000000"] },
    ...stagedInits.map(init => ({ ...staged, module: "stagedWeightsDesign", init, samples: 150, seeds: ["70000000"] })),
];

/**
 * Specifications with one guard disabled. The seeds come from a search for violations (see specs/README.md). After a
 * change of a specification, the search has to be repeated.
 */
const withoutGuard = [
    { ...placement, module: "withoutBaseCheck", seed: "0x247" },
    { ...placement, module: "withoutWait", seed: "0x4509" },
    { ...restartedWitness, module: "withoutWitnessUptime", seed: "0x22aba" },
    { ...placement, module: "withoutRelease", seed: "0xa5" },
    { ...placement, module: "withoutMajority", seed: "0x43f62ec" },
    { ...placement, module: "withoutKnowledgeSinceStart", seed: "0x3de03" },
    { ...placement, module: "withoutEndOfRenewal", seed: "0x25d4" },
    { ...orders, module: "ignoringWithoutStartWait", seed: "0x533" },
    { ...orders, module: "checkingWithoutStartWait", seed: "0x921a" },
    { ...orders, module: "ignoringWithoutAnswerWait", seed: "0xdf" },
    { ...slowOrders, module: "ignoringEngineSlowOrders", seed: "0xabc7" },
    { ...staged, module: "withoutVerification", init: "init", seed: "0x1" },
    { ...staged, module: "withoutReadBack", init: "initOrdered", seed: "0xf3" },
    { ...staged, module: "withoutIdentity", init: "initVerified", seed: "0x17ea8" },
    { ...staged, module: "withoutRecentReports", init: "initVerified", seed: "0x6aff" },
    { ...staged, module: "withoutFreshKnowledge", init: "initOrdered", seed: "0x1ea" },
    { ...staged, module: "withoutFrozenStaging", init: "initOrdered", seed: "0x6322" },
    { ...staged, module: "withoutGivingUp", init: "initOrdered", seed: "0x11355" },
    { ...staged, module: "withoutAnsweredWrites", init: "initWritten", seed: "0x56dcb" },
    { ...staged, module: "withoutPredecessorWait", init: "initPredecessor", seed: "0x75f1" },
    { ...staged, module: "withoutReportAfterWait", init: "initPredecessor", seed: "0xbfa09" },
    { ...staged, module: "withoutAllAnswers", init: "initRepeated", seed: "0xdc499" },
    { ...staged, module: "withoutStartOfOrder", init: "initOrderedAfterRestart", seed: "0x8874c" },
    { ...atMostOnce, module: "withoutNextOwners", seed: "0x59041" },
    { ...atMostOnce, module: "withoutStoppedOwners", seed: "0x47e52" },
    { ...atMostOnce, module: "withoutPredateCheck", seed: "0xd18" },
    { ...atMostOnce, module: "withoutClockSkew", seed: "0x1d63" },
    { ...atMostOnce, module: "withoutHold", seed: "0x42f6c9f" },
    { ...atMostOnce, module: "withoutKnowledgeSinceStart", seed: "0xc08ce" },
];

describe("specifications", { concurrency: 6 }, () => {
    for (const { seeds, ...design } of designs) {
        for (const seed of seeds) {
            const from = "init" in design ? ` from ${design.init}` : "";
            // Guards against a design whose rules permit a violation of the invariants.
            it(`${design.module} satisfies its invariants with seed ${seed}${from}`, async () => {
                await expectOutcome({ ...design, seed }, "[ok]");
            });
        }
    }

    for (const design of withoutGuard) {
        // Guards against a model that is too weak to show a violation, whatever the rules are.
        it(`${design.module} violates an invariant`, async () => {
            await expectOutcome({ ...design, samples: 20 }, "[violation]");
        });
    }
});
