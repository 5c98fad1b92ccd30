import type { Logger } from "pino";
import type { InstanceId, Milliseconds } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";
import { createFollower, type Follower, type FollowerOptions, type RelayTarget } from "./follower.js";

/** Options of {@link startFollowerSet}. */
export interface FollowerSetOptions extends Omit<FollowerOptions, "target" | "onEnd"> {
    /** Lists the entry instances that may be followed now. */
    readonly listTargets: () => readonly RelayTarget[];
    /** Key of the rendezvous hashing; processes with the same key follow the same entry instances. */
    readonly rankKey: string;
    /** Lists entry instances that are followed regardless of their rank, such as the witnesses of a copy. */
    readonly listRequired: () => Iterable<InstanceId>;
    /** Number of entry instances that are followed because of their rank. Default: 3. */
    readonly maximumFollowed?: number;
    /** Time between heartbeats. Default: 2,000 ms. */
    readonly heartbeatMilliseconds?: Milliseconds;
    readonly logger: Logger;
}

/** Streams to the relays that a process follows. */
export interface FollowerSet extends Disposable {
    /** Monotonic time of the newest response of any relay to a heartbeat; undefined before the first. */
    readonly heardAt: Milliseconds | undefined;
    /** Sends a heartbeat on each stream now. */
    sendHeartbeats(): void;
}

/** Delay before a relay whose stream ended is tried again. */
const reconnectDelay: Milliseconds = 1_000;
/** Heartbeat intervals without a message after which a stream is closed. */
const maximumSilentHeartbeatIntervals = 4;

/**
 * Follows the required entry instances and a few others, chosen by rendezvous hashing, and replaces those that fail or
 * leave. An entry instance that fails is tried again beside its replacement.
 *
 * @param options - entry instances to choose from, content of the heartbeats and callbacks
 * @returns the running set
 */
export function startFollowerSet(options: FollowerSetOptions): FollowerSet {
    const followers = new Map<InstanceId, Follower>();
    /** Monotonic time at which the stream to each entry instance ended that has not responded since then. */
    const failedAt = new Map<InstanceId, Milliseconds>();
    const interval = options.heartbeatMilliseconds ?? 2_000;
    let heardAt: Milliseconds | undefined;

    function open(target: RelayTarget): void {
        const follower = createFollower({
            ...options,
            target,
            onHeartbeatResponse: response => {
                heardAt = options.clock.monotonic();
                failedAt.delete(target.instance);
                options.onHeartbeatResponse(response);
            },
            onEnd: reason => {
                followers.delete(target.instance);
                failedAt.set(target.instance, options.clock.monotonic());
                options.logger.debug({ peer: target.instance, reason }, "relay stream ended");
            },
        });
        followers.set(target.instance, follower);
    }

    /**
     * Chooses the first instances by rank, and one more for each of them that does not respond: the next one that has
     * not failed, or else the one whose last attempt is longest ago.
     */
    function chooseByRank(instances: readonly InstanceId[]): Set<InstanceId> {
        const ranked = rankByRendezvous(options.rankKey, instances);
        const count = options.maximumFollowed ?? 3;
        const preferred = ranked.slice(0, count);
        const missing = preferred.filter(instance => failedAt.has(instance)).length;
        const others = ranked.slice(count);
        const failed = others.filter(instance => failedAt.has(instance))
            .sort((left, right) => failedAt.get(left)! - failedAt.get(right)!);
        const replacements = [...others.filter(instance => !failedAt.has(instance)), ...failed];
        return new Set([...preferred, ...replacements.slice(0, missing)]);
    }

    function reconcile(): void {
        const now = options.clock.monotonic();
        const targets = new Map(
            options.listTargets()
                .filter(target => target.instance !== options.self)
                .map(target => [target.instance, target]),
        );
        for (const instance of [...failedAt.keys()].filter(known => !targets.has(known))) {
            failedAt.delete(instance);
        }
        const wanted = chooseByRank([...targets.keys()]);
        for (const instance of options.listRequired()) {
            if (targets.has(instance)) {
                wanted.add(instance);
            }
        }
        for (const [instance, follower] of [...followers]) {
            const silent = now - follower.heardAt > maximumSilentHeartbeatIntervals * interval;
            if (silent || !wanted.has(instance) || targets.get(instance)?.address !== follower.target.address) {
                follower[Symbol.dispose]();
                if (!silent) {
                    failedAt.delete(instance);
                }
            }
        }
        for (const instance of wanted) {
            if (!followers.has(instance) && now >= (failedAt.get(instance) ?? -Infinity) + reconnectDelay) {
                open(targets.get(instance)!);
            }
        }
    }

    function sendHeartbeats(): void {
        for (const follower of followers.values()) {
            follower.sendHeartbeat();
        }
    }

    reconcile();
    const reconcileTimer = setInterval(reconcile, Math.min(500, interval));
    const heartbeatTimer = setInterval(sendHeartbeats, interval);

    return {
        get heardAt() {
            return heardAt;
        },
        sendHeartbeats,
        [Symbol.dispose]: () => {
            clearInterval(reconcileTimer);
            clearInterval(heartbeatTimer);
            for (const follower of [...followers.values()]) {
                follower[Symbol.dispose]();
            }
        },
    };
}
