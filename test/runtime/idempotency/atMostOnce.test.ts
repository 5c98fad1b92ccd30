import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { createIdempotencyKey } from "../../../src/runtime/idempotency/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";
import {
    applyNext,
    type Cluster,
    completeOwners,
    createCluster,
    finish,
    listViolations,
    proposeOwners,
    restart,
    send,
} from "./cluster.js";

type Step =
    | { readonly kind: "wait"; readonly duration: number; }
    | { readonly kind: "propose"; readonly members: number; }
    | { readonly kind: "complete"; }
    | { readonly kind: "apply"; readonly agent: number; }
    | { readonly kind: "restart"; readonly agent: number; }
    | { readonly kind: "create"; readonly skew: number; }
    | { readonly kind: "send"; readonly key: number; readonly agent: number; }
    | {
        readonly kind: "finish";
        readonly key: number;
        readonly agent: number;
        readonly state: "finished" | "unknown" | "not-run";
    };

const agentCount = 3;
const agent = fastCheck.integer({ min: 0, max: agentCount - 1 });
const key = fastCheck.integer({ min: 0, max: 3 });
// The clocks of callers and agents are each up to 1 s off, so that no two differ by more than the clock skew of 2 s.
const skew = fastCheck.integer({ min: -1_000, max: 1_000 });
const duration = fastCheck.oneof(
    { weight: 9, arbitrary: fastCheck.integer({ min: 1, max: 3_000 }) },
    { weight: 1, arbitrary: fastCheck.integer({ min: 3_000, max: 30_000 }) },
);
const state = fastCheck.constantFrom("finished" as const, "unknown" as const, "not-run" as const);

const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
    { weight: 8, arbitrary: fastCheck.record({ kind: fastCheck.constant("wait" as const), duration }) },
    {
        weight: 1,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("propose" as const),
            members: fastCheck.integer({ min: 1, max: 2 ** agentCount - 1 }),
        }),
    },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("complete" as const) }) },
    { weight: 16, arbitrary: fastCheck.record({ kind: fastCheck.constant("apply" as const), agent }) },
    { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant("restart" as const), agent }) },
    { weight: 5, arbitrary: fastCheck.record({ kind: fastCheck.constant("create" as const), skew }) },
    { weight: 16, arbitrary: fastCheck.record({ kind: fastCheck.constant("send" as const), key, agent }) },
    { weight: 6, arbitrary: fastCheck.record({ kind: fastCheck.constant("finish" as const), key, agent, state }) },
);

function takeStep(cluster: Cluster, taken: Step, random: ReturnType<typeof createSeededRandom>): string {
    switch (taken.kind) {
        case "wait":
            cluster.now += taken.duration;
            break;
        case "propose":
            proposeOwners(
                cluster,
                cluster.agents.flatMap(({ self }, index) => (taken.members >> index) % 2 === 1 ? [self] : []),
            );
            break;
        case "complete":
            completeOwners(cluster);
            break;
        case "apply":
            applyNext(cluster, taken.agent);
            break;
        case "restart":
            restart(cluster, taken.agent);
            break;
        case "create":
            cluster.keys.push({
                key: createIdempotencyKey(cluster.now + taken.skew, random),
                runs: 0,
                falseRefusals: 0,
            });
            break;
        case "send":
            // Sends one of the four newest keys, since those are the interesting ones.
            return send(cluster, cluster.keys.length - 1 - taken.key, taken.agent);
        case "finish":
            finish(cluster, cluster.keys.length - 1 - taken.key, taken.agent, taken.state);
            break;
    }
    return "";
}

describe("at most once", () => {
    // Guards against a second run of a key, and against a false "not run", through changes of owners in two steps,
    // restarts, lapsed holds, records that are applied late, clock skew and repeats that are sent to any agent.
    it("runs each key at most once over random schedules", t => {
        const outcomes = new Map<string, number>();
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(skew, { minLength: agentCount, maxLength: agentCount }),
                fastCheck.array(step, { minLength: 40, maxLength: 120 }),
                (clockOffsets, steps) => {
                    const random = createSeededRandom(7);
                    const cluster = createCluster({
                        clockOffsets,
                        holdDuration: 20_000,
                        ledger: { maximumKeyAge: 60_000 },
                    });
                    proposeOwners(cluster, ["agent-0", "agent-1"]);
                    for (let index = 0; index < agentCount; index++) {
                        applyNext(cluster, index);
                    }
                    cluster.now += 5_000;
                    for (const taken of steps) {
                        const outcome = takeStep(cluster, taken, random);
                        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
                        expect(listViolations(cluster)).toEqual([]);
                    }
                },
            ),
            { seed: 20_261_203, numRuns: 3_000, endOnFailure: true },
        );
        // The property is meaningful only if the schedules reach each of these decisions often enough.
        const expectedOutcomes = [
            "run",
            "replay",
            "key-predates-owner",
            "not-key-owner",
            "hold-lapsed",
            "key-in-progress",
        ];
        const rarelyReached = expectedOutcomes.filter(outcome => (outcomes.get(outcome) ?? 0) <= 50);
        t.diagnostic(JSON.stringify([...outcomes]));
        expect(rarelyReached).toEqual([]);
    });
});
