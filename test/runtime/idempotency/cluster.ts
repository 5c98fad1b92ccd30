import {
    createLedger,
    createOwnershipHistory,
    finishKey,
    type Ledger,
    type LedgerOptions,
    offerKey,
    type OwnershipHistory,
    recordOwners,
    resolveLedgerOptions,
} from "../../../src/runtime/idempotency/index.js";
import type { InstanceId, PlacementRow } from "../../../src/types/index.js";

/** Start of the model's time in milliseconds; each clock starts at this time plus its own offset. */
export const start = 1_800_000_000_000;

interface ModelAgent {
    readonly self: InstanceId;
    readonly clockOffset: number;
    /** Records of the log that this process has applied. */
    applied: number;
    heldUntil: number;
    ledger: Ledger;
    history: OwnershipHistory;
}

interface ModelKey {
    readonly key: string;
    runs: number;
    /** Refusals with `ran: "no"` although the request had run. */
    falseRefusals: number;
}

export interface Cluster {
    now: number;
    readonly holdDuration: number;
    readonly options: LedgerOptions;
    readonly log: PlacementRow[];
    readonly agents: ModelAgent[];
    readonly keys: ModelKey[];
    restarts: number;
}

export interface ClusterOptions {
    readonly clockOffsets: readonly number[];
    readonly holdDuration: number;
    readonly ledger: Partial<LedgerOptions>;
}

function createAgent(self: InstanceId, clockOffset: number, now: number, options: LedgerOptions): ModelAgent {
    return {
        self,
        clockOffset,
        applied: 0,
        heldUntil: 0,
        ledger: createLedger(options),
        history: createOwnershipHistory(self, now + clockOffset),
    };
}

export function createCluster(options: ClusterOptions): Cluster {
    const ledger = resolveLedgerOptions(options.ledger);
    return {
        now: start,
        holdDuration: options.holdDuration,
        options: ledger,
        log: [],
        agents: options.clockOffsets.map((offset, index) => createAgent(`agent-${index}`, offset, start, ledger)),
        keys: [],
        restarts: 0,
    };
}

function append(cluster: Cluster, owners: readonly InstanceId[], nextOwners: readonly InstanceId[] | undefined): void {
    cluster.log.push({
        deployment: "members",
        offset: cluster.log.length + 1,
        configurationOffset: 1,
        writtenAt: new Date(cluster.now).toISOString(),
        copies: [],
        owners,
        nextOwners,
    });
}

/** Appends the first record of a change of owners, or the first placement. */
export function proposeOwners(cluster: Cluster, owners: readonly InstanceId[]): boolean {
    const last = cluster.log.at(-1);
    if (last?.nextOwners !== undefined) {
        return false;
    }
    append(cluster, last?.owners ?? owners, last === undefined ? undefined : owners);
    return true;
}

/** Appends the second record, if each old owner has applied the first one or its hold has certainly lapsed. */
export function completeOwners(cluster: Cluster): boolean {
    const last = cluster.log.at(-1);
    if (last?.nextOwners === undefined) {
        return false;
    }
    const released = cluster.agents.every(agent =>
        !last.owners.includes(agent.self) || agent.applied === cluster.log.length || cluster.now > agent.heldUntil
    );
    if (released) {
        append(cluster, last.nextOwners, undefined);
    }
    return released;
}

/** Applies one more record; the hold is renewed once all are applied. */
export function applyNext(cluster: Cluster, index: number): void {
    const agent = cluster.agents[index]!;
    const record = cluster.log[agent.applied];
    if (record !== undefined) {
        recordOwners(agent.history, record, cluster.now + agent.clockOffset);
        agent.applied += 1;
    }
    if (agent.applied === cluster.log.length) {
        agent.heldUntil = cluster.now + cluster.holdDuration;
    }
}

/** Replaces an agent by a new process with an empty ledger, which learns only the newest placement. */
export function restart(cluster: Cluster, index: number): void {
    const { self, clockOffset, heldUntil } = cluster.agents[index]!;
    const agent = createAgent(self, clockOffset, cluster.now, cluster.options);
    agent.applied = Math.max(0, cluster.log.length - 1);
    // `completeOwners` still has to wait for the hold of the ended process.
    agent.heldUntil = heldUntil;
    cluster.agents[index] = agent;
    cluster.restarts += 1;
}

export function send(cluster: Cluster, keyIndex: number, agentIndex: number): string {
    const key = cluster.keys[keyIndex];
    const agent = cluster.agents[agentIndex]!;
    if (key === undefined) {
        return "no key";
    }
    const decision = offerKey(agent.ledger, agent.history, {
        key: key.key,
        clientAccount: "account",
        bodyDigest: "body",
        held: cluster.now < agent.heldUntil,
        lapsedAt: agent.heldUntil + agent.clockOffset,
        now: cluster.now + agent.clockOffset,
    });
    if (decision.kind === "run") {
        key.runs += 1;
    }
    if (decision.kind === "refuse" && decision.refusal.ran === "no" && key.runs > 0) {
        key.falseRefusals += 1;
    }
    return decision.kind === "refuse" ? decision.refusal.reason : decision.kind;
}

export function finish(
    cluster: Cluster,
    keyIndex: number,
    agentIndex: number,
    state: "finished" | "unknown" | "not-run",
): void {
    const key = cluster.keys[keyIndex];
    const { ledger } = cluster.agents[agentIndex]!;
    if (key === undefined || ledger.rows.get(key.key)?.state !== "running") {
        return;
    }
    finishKey(ledger, key.key, state, { status: 200, contentType: "text/plain", body: new Uint8Array(1) });
    if (state === "not-run") {
        key.runs -= 1;
    }
}

export function listViolations(cluster: Cluster): string[] {
    return cluster.keys.flatMap(({ key, runs, falseRefusals }) => [
        ...runs > 1 ? [`${key} ran ${runs} times`] : [],
        ...falseRefusals > 0 ? [`${key} was refused as not run after it had run`] : [],
    ]);
}

/** Copies a cluster so that an action on the copy does not change the original. */
export function cloneCluster(cluster: Cluster): Cluster {
    return {
        ...cluster,
        log: [...cluster.log],
        keys: cluster.keys.map(key => ({ ...key })),
        agents: cluster.agents.map(agent => ({
            ...agent,
            ledger: {
                ...agent.ledger,
                rows: new Map([...agent.ledger.rows].map(([key, row]) => [key, { ...row }])),
                answeredKeys: new Set(agent.ledger.answeredKeys),
            },
            history: { ...agent.history, periods: [...agent.history.periods] },
        })),
    };
}
