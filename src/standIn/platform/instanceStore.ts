import type { Clock, ListedInstance, Milliseconds } from "../../types/index.js";

/** State of an instance in the platform's instance list. */
export type PlatformInstanceState = "live" | "leaving" | "removed";

/** Row of an instance in the list, without its state. */
export type InstanceRegistration = Omit<ListedInstance, "state">;

/** Options of the instance list. */
export interface InstanceStoreOptions {
    /** Time until a change becomes visible in the list. Default: 0 ms. */
    readonly lagMilliseconds?: Milliseconds | undefined;
    /**
     * Time since its last heartbeat after which an instance is left out of the list. Instances that have never sent a
     * heartbeat stay listed. Default: no limit.
     */
    readonly heartbeatTimeoutMilliseconds?: Milliseconds | undefined;
}

/** Instance list that is kept in memory. */
export interface InstanceStore {
    /**
     * Adds an instance or replaces its row; its state becomes `live`.
     *
     * @param registration - row of the instance
     */
    register(registration: InstanceRegistration): void;
    /**
     * Records a heartbeat.
     *
     * @param instance - identifier of the instance
     * @returns whether the instance is known
     */
    heartbeat(instance: string): boolean;
    /**
     * Changes the state of an instance.
     *
     * @param instance - identifier of the instance
     * @param state - new state
     * @returns whether the instance is known
     */
    setState(instance: string, state: PlatformInstanceState): boolean;
    /** @returns the list as it was `lagMilliseconds` ago */
    list(): ListedInstance[];
}

interface Change {
    readonly at: Milliseconds;
    readonly registration: InstanceRegistration;
    readonly state: PlatformInstanceState;
}

interface InstanceHistory {
    changes: Change[];
    heartbeats: Milliseconds[];
}

/**
 * Creates an empty instance list.
 *
 * @param clock - source of time
 * @param options - lag and heartbeat timeout
 * @returns the list
 */
export function createInstanceStore(clock: Clock, options: InstanceStoreOptions = {}): InstanceStore {
    const { lagMilliseconds = 0, heartbeatTimeoutMilliseconds = Infinity } = options;
    const histories = new Map<string, InstanceHistory>();

    /** Adds a change, and discards those that are older than the visible one. */
    function recordChange(registration: InstanceRegistration, state: PlatformInstanceState): void {
        const history = histories.get(registration.instance) ?? { changes: [], heartbeats: [] };
        const visibleUntil = clock.monotonic() - lagMilliseconds;
        const shown = history.changes.findLastIndex(change => change.at <= visibleUntil);
        history.changes = [...history.changes.slice(Math.max(0, shown)), {
            at: clock.monotonic(),
            registration,
            state,
        }];
        histories.set(registration.instance, history);
    }

    function isAlive(history: InstanceHistory, visibleUntil: Milliseconds): boolean {
        const visibleHeartbeats = history.heartbeats.filter(at => at <= visibleUntil);
        return history.heartbeats.length === 0 || visibleHeartbeats.length === 0 ||
            visibleHeartbeats.at(-1)! >= visibleUntil - heartbeatTimeoutMilliseconds;
    }

    return {
        register: registration => recordChange(registration, "live"),
        heartbeat: instance => {
            const history = histories.get(instance);
            if (history === undefined) {
                return false;
            }
            const visibleUntil = clock.monotonic() - lagMilliseconds;
            const shown = history.heartbeats.findLastIndex(at => at <= visibleUntil);
            history.heartbeats = [...history.heartbeats.slice(Math.max(0, shown)), clock.monotonic()];
            return true;
        },
        setState: (instance, state) => {
            const newest = histories.get(instance)?.changes.at(-1);
            if (newest === undefined) {
                return false;
            }
            recordChange(newest.registration, state);
            return true;
        },
        list: () => {
            const visibleUntil = clock.monotonic() - lagMilliseconds;
            return [...histories.values()].flatMap(history => {
                const shown = history.changes.findLast(change => change.at <= visibleUntil);
                if (shown === undefined || shown.state === "removed" || !isAlive(history, visibleUntil)) {
                    return [];
                }
                return [{ ...shown.registration, state: shown.state }];
            });
        },
    };
}
