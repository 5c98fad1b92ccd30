import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import { type ActivationInput, compareFencingTokens, planOrders } from "../../../src/runtime/activation/index.js";
import type { CopyAssignment, CopyPhase, EngineState, StagedSet, WeightSet } from "../../../src/types/index.js";

const oldSet: WeightSet = { model: "scribe", adapter: "", version: "v1", manifestDigest: "aa" };
const newSet: WeightSet = { model: "scribe", adapter: "", version: "v2", manifestDigest: "bb" };

function assign(weights: WeightSet | undefined, state: CopyAssignment["state"] = "assigned"): CopyAssignment {
    return { instance: "runner-1", zone: "sando-hall", epoch: 10, weights, state, witnesses: [] };
}

/** Creates a staged set of eight chunks, of which the first `count` have arrived. */
function stage({ manifestDigest }: WeightSet, count = 8): StagedSet {
    return { manifestDigest, chunksTotal: 8, bitfield: Buffer.from([(1 << count) - 1]).toString("base64") };
}

function createEngine(changes: Partial<EngineState> = {}): EngineState {
    return {
        incarnation: "engine-1",
        active: undefined,
        staged: [],
        running: 0,
        queued: 0,
        capacity: 8,
        cachedPrefixes: [],
        highestToken: undefined,
        ...changes,
    };
}

function createInput(changes: Partial<ActivationInput>): ActivationInput {
    return {
        assignment: assign(newSet),
        held: true,
        engine: createEngine(),
        engineReadAt: 9_000,
        activeBelongsToDeployment: true,
        setComplete: false,
        chunksTotal: 8,
        requestsInProgress: 0,
        startedAt: 1_000,
        orderTimeLimit: 5_000,
        lastToken: { epoch: 0, agentStart: 77, sequence: 4 },
        newestEpoch: 12,
        now: 10_000,
        ...changes,
    };
}

interface Expected {
    readonly phase: CopyPhase;
    /** Kind and digest of the order; empty for none. */
    readonly order: string;
    readonly readState?: boolean;
}

const active = { active: oldSet, staged: [stage(oldSet)] };
const replacing = { active: oldSet, staged: [stage(oldSet), stage(newSet)] };

const cases: readonly (readonly [string, Partial<ActivationInput>, Expected])[] = [
    ["prepares an assigned set", {}, { phase: "staging", order: "prepare bb" }],
    ["waits for the manifest", { chunksTotal: 0 }, { phase: "waiting", order: "" }],
    [
        "leaves the old version active until the new set is complete",
        { engine: createEngine({ active: oldSet, staged: [stage(oldSet), stage(newSet, 7)] }) },
        { phase: "staging", order: "" },
    ],
    [
        "unloads the set of another deployment before the assigned one is complete",
        { engine: createEngine(replacing), activeBelongsToDeployment: false },
        { phase: "staging", order: "deactivate" },
    ],
    [
        "lets requests on the set of another deployment finish",
        { engine: createEngine(replacing), activeBelongsToDeployment: false, requestsInProgress: 1 },
        { phase: "staging", order: "" },
    ],
    [
        "activates a complete set",
        { engine: createEngine(replacing), setComplete: true },
        { phase: "activating", order: "activate bb" },
    ],
    [
        "does not activate a set that the engine reports as complete but this process has not verified",
        { engine: createEngine(replacing) },
        { phase: "staging", order: "" },
    ],
    [
        "does not activate a set of which the engine has lost chunks",
        { engine: createEngine({ ...active, staged: [stage(newSet, 6)] }), setComplete: true },
        { phase: "staging", order: "" },
    ],
    [
        "does not take another version with the same digest for the assigned one",
        {
            engine: createEngine({ active: { ...newSet, adapter: "dialect" }, staged: [stage(newSet)] }),
            setComplete: true,
        },
        { phase: "activating", order: "activate bb" },
    ],
    [
        "drops a staged set with another number of chunks",
        { engine: createEngine({ staged: [{ ...stage(newSet), chunksTotal: 9 }] }), setComplete: true },
        { phase: "staging", order: "drop bb" },
    ],
    [
        "drops the old set once the new one is active",
        { engine: createEngine({ ...replacing, active: newSet }), setComplete: true },
        { phase: "serving", order: "drop aa" },
    ],
    [
        "gives no order while the assigned set is active",
        { engine: createEngine({ active: newSet, staged: [stage(newSet)] }), setComplete: true },
        { phase: "serving", order: "" },
    ],
    [
        "waits until no order of an earlier agent process can be in transit",
        { now: 5_999, engineReadAt: 5_998, engine: createEngine(replacing), setComplete: true },
        { phase: "waiting", order: "" },
    ],
    [
        "reads the state again after that wait",
        { now: 6_001, engineReadAt: 5_999, engine: createEngine(replacing), setComplete: true },
        { phase: "waiting", order: "", readState: true },
    ],
    [
        "reads the state after an order with an ambiguous outcome",
        { engine: undefined, engineReadAt: undefined },
        { phase: "waiting", order: "", readState: true },
    ],
    [
        "deactivates when the hold has lapsed, whatever is in progress",
        { held: false, engine: createEngine(active), requestsInProgress: 3 },
        { phase: "lapsed", order: "deactivate" },
    ],
    [
        "drops what is staged when the hold has lapsed",
        { held: false, engine: createEngine({ staged: [stage(newSet, 2)] }) },
        { phase: "lapsed", order: "drop bb" },
    ],
    [
        "lets requests finish when the copy is revoked",
        { assignment: assign(oldSet, "revoked"), engine: createEngine(active), requestsInProgress: 1 },
        { phase: "unloading", order: "" },
    ],
    [
        "deactivates a revoked copy without requests",
        { assignment: assign(oldSet, "revoked"), engine: createEngine(active) },
        { phase: "unloading", order: "deactivate" },
    ],
    ["reports a copy as released when nothing is left", { assignment: undefined }, { phase: "released", order: "" }],
    [
        "gives no order when the engine has seen a newer epoch",
        { engine: createEngine({ highestToken: { epoch: 13, agentStart: 1, sequence: 1 } }) },
        { phase: "waiting", order: "", readState: true },
    ],
    [
        "gives no order when the engine has seen a newer agent",
        { engine: createEngine({ highestToken: { epoch: 12, agentStart: 78, sequence: 1 } }) },
        { phase: "waiting", order: "", readState: true },
    ],
    [
        "gives orders to an engine that knows an older token",
        { engine: createEngine({ highestToken: { epoch: 12, agentStart: 77, sequence: 4 } }) },
        { phase: "staging", order: "prepare bb" },
    ],
    ["serves a plain service without weights", { assignment: assign(undefined) }, { phase: "serving", order: "" }],
    ["ends a plain service with its hold", { assignment: assign(undefined), held: false }, {
        phase: "lapsed",
        order: "",
    }],
];

describe("orders to the engine", () => {
    // Guards against activating an incomplete, mixed or unwanted set, and against orders that race with those of an
    // earlier agent process.
    for (const [name, changes, expected] of cases) {
        it(name, () => {
            const { order, phase, readState } = planOrders(createInput(changes));
            const digest = order !== undefined && "manifestDigest" in order ? ` ${order.manifestDigest}` : "";
            expect({ phase, order: order === undefined ? "" : `${order.kind}${digest}`, readState }).toEqual({
                readState: false,
                ...expected,
            });
        });
    }

    // Guards against an order that an engine with fencing checks refuses, or whose token an older agent could use as
    // well.
    it("gives each order a newer token than the last", () => {
        const { order } = planOrders(createInput({}));
        expect(order?.token).toEqual({ epoch: 12, agentStart: 77, sequence: 5 });
        const tokens = fc.record({ epoch: fc.nat(2), agentStart: fc.nat(2), sequence: fc.nat(2) });
        fc.assert(fc.property(tokens, tokens, tokens, (first, second, third) => {
            const sorted = [first, second, third].sort(compareFencingTokens);
            expect(compareFencingTokens(sorted[0]!, sorted[2]!) <= 0).toEqual(true);
            expect(Math.sign(compareFencingTokens(first, second)) + Math.sign(compareFencingTokens(second, first)))
                .toEqual(0);
        }));
    });

    // Guards against any combination of reports that leads to the activation of a set that is not complete and
    // verified.
    it("activates only a set that both the agent and the engine report as complete", () => {
        const sets = fc.subarray([oldSet, newSet]);
        fc.assert(fc.property(
            sets,
            fc.nat(8),
            fc.boolean(),
            fc.boolean(),
            fc.nat(12_000),
            fc.nat(12_000),
            (staged, count, setComplete, held, now, engineReadAt) => {
                const engine = createEngine({ active: oldSet, staged: staged.map(set => stage(set, count)) });
                const { order } = planOrders(createInput({ engine, setComplete, held, now, engineReadAt }));
                if (order?.kind === "activate") {
                    expect({ setComplete, held, count }).toEqual({ setComplete: true, held: true, count: 8 });
                    expect(staged.includes(newSet)).toEqual(true);
                }
                if (order !== undefined) {
                    expect(now >= 6_000 && engineReadAt >= 6_000).toEqual(true);
                }
            },
        ));
    });
});
