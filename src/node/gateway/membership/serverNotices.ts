import type { Logger } from "pino";
import {
    expireNotices,
    listLeaving,
    recordLeaving,
    recordPause,
    type ServerNotice,
    type ServerNoticeTable,
    type SharedLeaving,
} from "../../../runtime/gateway/index.js";
import type { BackendServerHead, Clock, Milliseconds } from "../../../types/index.js";

/** Source of a notice: an answer to this gateway, or another gateway. */
export type NoticeSource = "answer" | "gateway";

/** What backend servers have announced in their answers. */
export interface ServerNotices {
    /**
     * Records the notices in the head of an answer.
     *
     * @param lifetime - lifetime of the backend server that has answered
     * @param head - head of its answer
     */
    recordHead(lifetime: string, head: Pick<BackendServerHead, "leaving" | "pause">): void;
    /**
     * Records the notices of another gateway.
     *
     * @param leaving - backend servers that are shutting down
     */
    mergeLeaving(leaving: readonly SharedLeaving[]): void;
    /** Lists all backend servers that are shutting down, for other gateways. */
    listLeaving(): readonly SharedLeaving[];
    /**
     * Finds the notice of a backend server.
     *
     * @param lifetime - its lifetime
     * @returns the notice; undefined if the backend server has announced nothing
     */
    find(lifetime: string): ServerNotice | undefined;
    /**
     * Removes the notices of lifetimes that have ended; called at short intervals.
     *
     * @param isListed - tells whether a lifetime is listed
     */
    expire(isListed: (lifetime: string) => boolean): void;
    /** Registers a listener for changes of notices, which is called with the lifetime. */
    onChange(listener: (lifetime: string) => void): void;
    /** Registers a listener that is called when a backend server becomes known to be shutting down. */
    onLeaving(listener: () => void): void;
}

/** Dependencies of {@link createServerNotices}. */
export interface ServerNoticesInput {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time for which the notice of a backend server is kept after the removal of its entry. */
    readonly memory: Milliseconds;
    /** Maximum pause of a backend server that turns requests away. */
    readonly maximumPause: Milliseconds;
}

/**
 * Creates the notices of a gateway.
 *
 * @param input - clock, log and times
 * @returns the notices, empty
 */
export function createServerNotices({ clock, logger, maximumPause, memory }: ServerNoticesInput): ServerNotices {
    const table: ServerNoticeTable = new Map();
    const listeners: ((lifetime: string) => void)[] = [];
    const leavingListeners: (() => void)[] = [];

    function handleLeaving(lifetime: string, age: Milliseconds, source: NoticeSource): void {
        if (recordLeaving(table, lifetime, age, clock.monotonic())) {
            logger.info({ lifetime, notice: "leaving", source, ageMilliseconds: Math.round(age) }, "server notice");
            listeners.forEach(listener => listener(lifetime));
            leavingListeners.forEach(listener => listener());
        }
    }

    function handlePause(lifetime: string, duration: Milliseconds): void {
        if (recordPause(table, lifetime, duration, clock.monotonic())) {
            const durationMilliseconds = Math.round(duration);
            logger.info({ lifetime, notice: "paused", source: "answer", durationMilliseconds }, "server notice");
        }
        listeners.forEach(listener => listener(lifetime));
    }

    return {
        recordHead: (lifetime, { leaving, pause }) => {
            if (pause !== undefined) {
                handlePause(lifetime, Math.min(pause, maximumPause));
            }
            if (leaving) {
                handleLeaving(lifetime, 0, "answer");
            }
        },
        mergeLeaving: leaving =>
            // Gateways remove notices at slightly different times and must not exchange them endlessly.
            leaving.filter(({ age }) => age <= memory)
                .forEach(({ age, lifetime }) => handleLeaving(lifetime, age, "gateway")),
        listLeaving: () => listLeaving(table, clock.monotonic()),
        find: lifetime => table.get(lifetime),
        expire: isListed => expireNotices(table, isListed, memory, clock.monotonic()),
        onChange: listener => void listeners.push(listener),
        onLeaving: listener => void leavingListeners.push(listener),
    };
}
