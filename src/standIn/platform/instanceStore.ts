import type { Clock, ListedInstance, Milliseconds } from "../../types/index.js";

/** State that the platform gives an instance. */
export type PlatformInstanceState = "live" | "leaving" | "removed";

/** Row of an instance without its state. */
export type InstanceRegistration = Omit<ListedInstance, "state">;

/** Behaviour of the list. */
export interface InstanceStoreOptions {
    /** Time after which a change shows in the list. Default: 0 ms. */
    readonly lagMilliseconds?: Milliseconds | undefined;
    /** Time without a heartbeat after which an instance that sent one is removed. Default: never. */
    readonly heartbeatTimeoutMilliseconds?: Milliseconds | undefined;
}

/** Instance list in memory. */
export interface InstanceStore {
    /**
     * Adds an instance or replaces its row; its state becomes `live`.
     *
     * @param registration - row of the instance
     */
    register(registration: InstanceRegistration): void;
    /**
     * Counts a heartbeat.
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
    /** @returns the list as it was before the lag */
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
 * Creates an empty list.
 *
 * @param clock - source of time
 * @param options - lag and heartbeat timeout
 * @returns the list
 */
export function createInstanceStore(clock: Clock, options: InstanceStoreOptions = {}): InstanceStore {
    const { lagMilliseconds = 0, heartbeatTimeoutMilliseconds = Infinity } = options;
    const histories = new Map<string, InstanceHistory>();

    function record(registration: InstanceRegistration, state: PlatformInstanceState): void {
        const history = histories.get(registration.instance) ?? { changes: [], heartbeats: [] };
        const visible = clock.monotonic() - lagMilliseconds;
        const shown = history.changes.findLastIndex(change => change.at <= visible);
        history.changes = [...history.changes.slice(Math.max(0, shown)), {
            at: clock.monotonic(),
            registration,
            state,
        }];
        histories.set(registration.instance, history);
    }

    function isAlive(history: InstanceHistory, visible: Milliseconds): boolean {
        const heard = history.heartbeats.filter(at => at <= visible);
        return history.heartbeats.length === 0 || heard.length === 0 ||
            heard.at(-1)! >= visible - heartbeatTimeoutMilliseconds;
    }

    return {
        register: registration => record(registration, "live"),
        heartbeat: instance => {
            const history = histories.get(instance);
            if (history === undefined) {
                return false;
            }
            const visible = clock.monotonic() - lagMilliseconds;
            const shown = history.heartbeats.findLastIndex(at => at <= visible);
            history.heartbeats = [...history.heartbeats.slice(Math.max(0, shown)), clock.monotonic()];
            return true;
        },
        setState: (instance, state) => {
            const newest = histories.get(instance)?.changes.at(-1);
            if (newest === undefined) {
                return false;
            }
            record(newest.registration, state);
            return true;
        },
        list: () => {
            const visible = clock.monotonic() - lagMilliseconds;
            return [...histories.values()].flatMap(history => {
                const shown = history.changes.findLast(change => change.at <= visible);
                if (shown === undefined || shown.state === "removed" || !isAlive(history, visible)) {
                    return [];
                }
                return [{ ...shown.registration, state: shown.state }];
            });
        },
    };
}
