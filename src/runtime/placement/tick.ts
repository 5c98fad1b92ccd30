import type {
    CopyAssignment,
    DeploymentName,
    InstanceId,
    InstanceRow,
    Milliseconds,
    Offset,
} from "../../types/index.js";
import type { ProposerInput } from "./types.js";

/** Copy that a placement in force lists for an instance, assigned or revoked. */
interface Holding {
    readonly deployment: DeploymentName;
    readonly epoch: Offset;
    readonly state: CopyAssignment["state"];
}

/** Input of one tick of the proposer, with values derived from it. */
export interface Tick {
    readonly input: ProposerInput;
    /** Monotonic time of the tick. */
    readonly now: Milliseconds;
    /** Monotonic time since when the proposer has run without a pause. */
    readonly observingSince: Milliseconds;
    /** Copies by instance; computed at the first call, since few ticks need them. */
    readonly getHoldings: () => ReadonlyMap<InstanceId, readonly Holding[]>;
    /** Entry instances whose last message is older than `unreachableAfter`; computed at the first call. */
    readonly getSilentEntries: () => ReadonlySet<InstanceId>;
    /** Live entry instances. */
    readonly entries: readonly InstanceRow[];
}

/**
 * Begins a tick.
 *
 * @param input - input of the proposer; its memory is updated
 * @returns the tick
 */
export function beginTick(input: ProposerInput): Tick {
    const { memory, options, instances } = input;
    const now = input.clock.monotonic();
    const wasPaused = memory.lastTickAt === undefined || now - memory.lastTickAt > options.unreachableAfter / 2;
    // A proposer that was not running received no messages, so it must not count that time as silence of others.
    if (memory.observingSince === undefined || wasPaused) {
        memory.observingSince = now;
    }
    memory.lastTickAt = now;
    const entries = [...instances.lookup("role", "entry")]
        .map(instance => instances.get(instance)!)
        .filter(row => row.state === "live");
    const tick: Tick = {
        input,
        now,
        observingSince: memory.observingSince,
        getHoldings: memoize(() => collectHoldings(input)),
        getSilentEntries: memoize(() => collectSilentEntries(tick)),
        entries,
    };
    return tick;
}

function memoize<Value>(read: () => Value): () => Value {
    let known: { readonly value: Value; } | undefined;
    return () => (known ??= { value: read() }).value;
}

function collectSilentEntries(tick: Tick): Set<InstanceId> {
    const { self, options } = tick.input;
    const silent = tick.entries.filter(({ instance }) =>
        instance !== self && measureSilence(tick, instance) >= options.unreachableAfter
    );
    return new Set(silent.map(({ instance }) => instance));
}

/**
 * Ends a tick: deletes from the proposer's memory the copies and instances that no longer exist.
 *
 * @param tick - the tick; its memory is updated
 */
export function endTick(tick: Tick): void {
    const { memory, instances } = tick.input;
    for (const instance of memory.awaitedSince.keys()) {
        if (!instances.has(instance) && !tick.getHoldings().has(instance)) {
            memory.awaitedSince.delete(instance);
        }
    }
    if (memory.confirmations.size === 0) {
        return;
    }
    const held = [...tick.getHoldings()].flatMap(([instance, holdings]) =>
        holdings.map(({ deployment, epoch }) => createCopyKey(deployment, instance, epoch))
    );
    const keys = new Set(held);
    for (const key of [...memory.confirmations.keys()].filter(confirmed => !keys.has(confirmed))) {
        memory.confirmations.delete(key);
    }
}

/**
 * Creates the key of a copy.
 *
 * @param deployment - name of the deployment
 * @param instance - instance that it is on
 * @param epoch - offset of the record that assigned it
 * @returns its key in `confirmations`
 */
export function createCopyKey(deployment: DeploymentName, instance: InstanceId, epoch: Offset): string {
    return `${deployment}/${instance}/${epoch}`;
}

function collectHoldings(input: ProposerInput): Map<InstanceId, Holding[]> {
    const holdings = new Map<InstanceId, Holding[]>();
    for (const { deployment, copies } of input.state.placements.rows()) {
        for (const { instance, epoch, state } of copies) {
            const held = holdings.get(instance);
            if (held === undefined) {
                holdings.set(instance, [{ deployment, epoch, state }]);
            }
            else {
                held.push({ deployment, epoch, state });
            }
        }
    }
    return holdings;
}

/**
 * Measures the time since the last message from an instance, or since the proposer began to wait for the first one.
 * Time during which the proposer itself was not running does not count.
 *
 * @param tick - the tick
 * @param instance - a backend server or entry instance
 * @returns milliseconds
 */
export function measureSilence(tick: Tick, instance: InstanceId): Milliseconds {
    const { input, now } = tick;
    const heardAt = (input.observations.get(instance) ?? input.witnesses.get(instance))?.heardAt;
    if (heardAt !== undefined) {
        input.memory.awaitedSince.delete(instance);
        return now - Math.max(heardAt, tick.observingSince);
    }
    const since = input.memory.awaitedSince.get(instance) ?? now;
    input.memory.awaitedSince.set(instance, since);
    return now - Math.max(since, tick.observingSince);
}

/**
 * Tells whether the last heartbeat of an agent is recent.
 *
 * @param tick - the tick
 * @param instance - a backend server instance
 * @returns true if a heartbeat arrived within `unreachableAfter`
 */
export function isReachable(tick: Tick, instance: InstanceId): boolean {
    const observation = tick.input.observations.get(instance);
    return observation !== undefined && tick.now - observation.heardAt < tick.input.options.unreachableAfter;
}

/**
 * Tells whether an instance counts as terminated: it is no longer in the instance list, and no message from it arrived
 * within the hold duration.
 *
 * @param tick - the tick
 * @param instance - an instance
 * @returns true if it is gone
 */
export function isGone(tick: Tick, instance: InstanceId): boolean {
    const isUnlisted = tick.input.instances.get(instance)?.state === "gone";
    return isUnlisted && measureSilence(tick, instance) >= tick.input.options.holdDuration;
}
