import { expect } from "earl";
import { describe, it } from "node:test";
import { createIdempotencyKey } from "../../../src/runtime/idempotency/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";
import {
    applyNext,
    cloneCluster,
    type Cluster,
    completeOwners,
    createCluster,
    finish,
    listViolations,
    proposeOwners,
    restart,
    send,
    start,
} from "./cluster.js";

const unit = 1_000;
const bound = { time: 7, records: 5, restarts: 1, depth: 16 };

/** Each action changes a clone and returns false if it does not apply. */
const actions: Readonly<Record<string, (cluster: Cluster) => boolean>> = {
    wait: cluster => {
        cluster.now += unit;
        return true;
    },
    "propose-0": cluster => cluster.log.length < bound.records && proposeOwners(cluster, ["agent-0"]),
    "propose-1": cluster => cluster.log.length < bound.records && proposeOwners(cluster, ["agent-1"]),
    complete: cluster => cluster.log.length < bound.records && completeOwners(cluster),
    "apply-0": cluster => apply(cluster, 0),
    "apply-1": cluster => apply(cluster, 1),
    "restart-0": cluster => cluster.restarts < bound.restarts && restartAgent(cluster, 0),
    create: cluster => {
        if (cluster.keys.length > 0) {
            return false;
        }
        cluster.keys.push({
            key: createIdempotencyKey(cluster.now, createSeededRandom(1)),
            runs: 0,
            falseRefusals: 0,
        });
        return true;
    },
    "send-0": cluster => sendKey(cluster, 0),
    "send-1": cluster => sendKey(cluster, 1),
    "not-run-0": cluster => finishAs(cluster, "not-run"),
    "finish-0": cluster => finishAs(cluster, "finished"),
};

function apply(cluster: Cluster, index: number): boolean {
    applyNext(cluster, index);
    return true;
}

function restartAgent(cluster: Cluster, index: number): boolean {
    restart(cluster, index);
    return true;
}

function sendKey(cluster: Cluster, index: number): boolean {
    send(cluster, 0, index);
    return cluster.keys.length > 0;
}

function finishAs(cluster: Cluster, state: "finished" | "not-run"): boolean {
    finish(cluster, 0, 0, state);
    return cluster.keys.length > 0;
}

function describeCluster(cluster: Cluster): string {
    return JSON.stringify([
        cluster.now - start,
        cluster.log.map(({ owners, nextOwners, writtenAt }) => [owners, nextOwners, writtenAt]).join(),
        cluster.keys,
        cluster.restarts,
        cluster.agents.map(({ applied, heldUntil, ledger, history }) => [
            applied,
            heldUntil,
            ledger.forgottenUntil,
            [...ledger.rows.values()].map(({ state }) => state),
            history.startedAt,
            history.interruptedAt,
            history.periods.map(({ placementOffset, appliedAt }) => [placementOffset, appliedAt]),
        ]),
    ]);
}

interface Exploration {
    readonly states: number;
    readonly depth: number;
    /** Actions that lead to the first violation. */
    readonly trace: readonly string[];
    readonly violations: readonly string[];
}

interface Node {
    readonly cluster: Cluster;
    readonly parent: Node | undefined;
    readonly action: string;
}

function readTrace(node: Node): string[] {
    return node.parent === undefined ? [] : [...readTrace(node.parent), node.action];
}

function explore(initial: Cluster, maximumStates: number): Exploration {
    const seen = new Set([describeCluster(initial)]);
    const latest = initial.now + bound.time * unit;
    let level: Node[] = [{ cluster: initial, parent: undefined, action: "" }];
    for (let depth = 1; depth <= bound.depth && level.length > 0; depth++) {
        const next: Node[] = [];
        for (const node of level) {
            for (const [action, change] of Object.entries(actions)) {
                const cluster = cloneCluster(node.cluster);
                if (!change(cluster) || cluster.now > latest) {
                    continue;
                }
                const child: Node = { cluster, parent: node, action };
                const violations = listViolations(cluster);
                if (violations.length > 0) {
                    return { states: seen.size, depth, trace: readTrace(child), violations };
                }
                const description = describeCluster(cluster);
                if (!seen.has(description)) {
                    seen.add(description);
                    next.push(child);
                }
            }
        }
        if (seen.size > maximumStates) {
            return { states: seen.size, depth, trace: [], violations: [] };
        }
        level = next;
    }
    return { states: seen.size, depth: bound.depth, trace: [], violations: [] };
}

function createInitial(): Cluster {
    const cluster = createCluster({
        clockOffsets: [0, -500],
        holdDuration: 2 * unit,
        ledger: { clockSkew: 500, maximumKeyAge: 5 * unit },
    });
    proposeOwners(cluster, ["agent-0"]);
    applyNext(cluster, 0);
    applyNext(cluster, 1);
    cluster.now += unit;
    return cluster;
}

function createDuringChange(): Cluster {
    const cluster = createInitial();
    actions["create"]!(cluster);
    proposeOwners(cluster, ["agent-1"]);
    return cluster;
}

function createWithFirstRecordApplied(): Cluster {
    const cluster = createInitial();
    proposeOwners(cluster, ["agent-1"]);
    applyNext(cluster, 0);
    applyNext(cluster, 1);
    return cluster;
}

function createAfterLapse(): Cluster {
    const cluster = createInitial();
    proposeOwners(cluster, ["agent-1"]);
    cluster.now += 3 * unit;
    completeOwners(cluster);
    applyNext(cluster, 1);
    applyNext(cluster, 1);
    return cluster;
}

describe("exploration of at most once", () => {
    // Guards against a short schedule that random search misses. All schedules of the actions above are explored
    // breadth-first to at least the asserted depth, with two agents, one key, clocks that are 0 and 0.5 s off, and at
    // most one restart.
    const initialStates = {
        "before a change of owners": createInitial,
        "with a key created before a change of owners": createDuringChange,
        "while the old owner knows only the first record of a change": createWithFirstRecordApplied,
        "after the hold of the old owner has lapsed": createAfterLapse,
    };
    for (const [name, create] of Object.entries(initialStates)) {
        it(`finds no second run and no false refusal ${name}`, t => {
            const result = explore(create(), 40_000);
            t.diagnostic(`${result.states} states, depth ${result.depth}`);
            expect({ trace: result.trace, violations: result.violations }).toEqual({ trace: [], violations: [] });
            expect(result.depth).toBeGreaterThanOrEqual(7);
        });
    }
});
