import type {
    CopyAssignment,
    DeploymentName,
    InstanceId,
    InstanceRow,
    Milliseconds,
    Offset,
} from "../../types/index.js";
import type { ProposerInput } from "./types.js";

/** Copy that a placement in force lists for an instance, released or not. */
interface Holding {
    readonly deployment: DeploymentName;
    readonly epoch: Offset;
    readonly state: CopyAssignment["state"];
}

/** What one tick of the proposer works with. */
export interface Tick {
    readonly input: ProposerInput;
    /** Monotonic time. */
    readonly now: Milliseconds;
    readonly observingSince: Milliseconds;
    /** Copies by instance; collected at the first call, since few ticks need them. */
    readonly readHoldings: () => ReadonlyMap<InstanceId, readonly Holding[]>;
    /** Entry instances that were not heard; collected at the first call. */
    readonly readSilentEntries: () => ReadonlySet<InstanceId>;
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
    // After a start or a pause nobody has been heard for reasons that lie with the proposer itself.
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
        readHoldings: readOnce(() => collectHoldings(input)),
        readSilentEntries: readOnce(() => collectSilentEntries(tick)),
        entries,
    };
    return tick;
}

function readOnce<Value>(read: () => Value): () => Value {
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
 * Ends a tick.
 *
 * @param tick - the tick; what its memory holds on copies and instances that no longer exist is forgotten
 */
export function endTick(tick: Tick): void {
    const { memory, instances } = tick.input;
    for (const instance of memory.unheardSince.keys()) {
        if (!instances.has(instance) && !tick.readHoldings().has(instance)) {
            memory.unheardSince.delete(instance);
        }
    }
    if (memory.confirmations.size === 0) {
        return;
    }
    const held = [...tick.readHoldings()].flatMap(([instance, holdings]) =>
        holdings.map(({ deployment, epoch }) => createCopyKey(deployment, instance, epoch))
    );
    const keys = new Set(held);
    for (const key of [...memory.confirmations.keys()].filter(confirmed => !keys.has(confirmed))) {
        memory.confirmations.delete(key);
    }
}

/**
 * Names a copy.
 *
 * @param deployment - name of the deployment
 * @param instance - instance that it is on
 * @param epoch - its epoch
 * @returns the key of the copy in `confirmations`
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
 * Measures for how long an instance was not heard. Time in which the proposer itself was not observing does not count.
 *
 * @param tick - the tick
 * @param instance - a backend server or entry instance
 * @returns milliseconds
 */
export function measureSilence(tick: Tick, instance: InstanceId): Milliseconds {
    const { input, now } = tick;
    const heardAt = (input.observations.get(instance) ?? input.witnesses.get(instance))?.heardAt;
    if (heardAt !== undefined) {
        input.memory.unheardSince.delete(instance);
        return now - Math.max(heardAt, tick.observingSince);
    }
    const since = input.memory.unheardSince.get(instance) ?? now;
    input.memory.unheardSince.set(instance, since);
    return now - Math.max(since, tick.observingSince);
}

/**
 * Tells whether an agent was heard a short time ago.
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
 * Tells whether an instance was terminated: it is no longer listed and was not heard within the hold duration.
 *
 * @param tick - the tick
 * @param instance - an instance
 * @returns true if it is gone
 */
export function isGone(tick: Tick, instance: InstanceId): boolean {
    const isUnlisted = tick.input.instances.get(instance)?.state === "gone";
    return isUnlisted && measureSilence(tick, instance) >= tick.input.options.holdDuration;
}
