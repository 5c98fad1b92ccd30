import type { Logger } from "pino";
import {
    expireNotices,
    listLeaving,
    recordLeaving,
    recordPause,
    type ServerNotice,
    type ServerNoticeTable,
    type SharedLeaving,
} from "../../runtime/gateway/index.js";
import type { BackendServerHead, Clock, Milliseconds } from "../../types/index.js";

/** Where a notice came from: an answer to this gateway, or another gateway. */
export type NoticeSource = "answer" | "gateway";

/** What backend servers have said of themselves in their answers. */
export interface ServerNotices {
    /**
     * Records what the head of an answer says.
     *
     * @param lifetime - lifetime of the backend server that has answered
     * @param head - head of its answer
     */
    recordHead(lifetime: string, head: Pick<BackendServerHead, "leaving" | "pause">): void;
    /**
     * Records what another gateway knows.
     *
     * @param leaving - backend servers that leave
     */
    mergeLeaving(leaving: readonly SharedLeaving[]): void;
    /** All backend servers that leave, for others to be told. */
    listLeaving(): readonly SharedLeaving[];
    /**
     * Finds the notice of a backend server.
     *
     * @param lifetime - its lifetime
     * @returns the notice; undefined if it has said nothing
     */
    find(lifetime: string): ServerNotice | undefined;
    /**
     * Forgets the notices of backend servers that are gone; called at short intervals.
     *
     * @param isListed - tells whether a lifetime is listed
     */
    expire(isListed: (lifetime: string) => boolean): void;
    /** Called after a change of the notice of a lifetime. */
    onChange(listener: (lifetime: string) => void): void;
    /** Called when a backend server is found to leave. */
    onLeaving(listener: () => void): void;
}

/** Dependencies of {@link createServerNotices}. */
export interface ServerNoticesInput {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time for which the notice of a backend server is kept after its entry is gone. */
    readonly memory: Milliseconds;
    /** Longest time for which a backend server that turns requests away is left alone. */
    readonly maximumPause: Milliseconds;
}

/**
 * Creates the notices of a gateway, none at first.
 *
 * @param input - clock, log and time
 * @returns the notices
 */
export function createServerNotices({ clock, logger, maximumPause, memory }: ServerNoticesInput): ServerNotices {
    const table: ServerNoticeTable = new Map();
    const listeners: ((lifetime: string) => void)[] = [];
    const leavingListeners: (() => void)[] = [];

    function noteLeaving(lifetime: string, age: Milliseconds, source: NoticeSource): void {
        if (recordLeaving(table, lifetime, age, clock.monotonic())) {
            logger.info({ lifetime, notice: "leaving", source, ageMilliseconds: Math.round(age) }, "server notice");
            listeners.forEach(listener => listener(lifetime));
            leavingListeners.forEach(listener => listener());
        }
    }

    function notePause(lifetime: string, duration: Milliseconds): void {
        if (recordPause(table, lifetime, duration, clock.monotonic())) {
            const durationMilliseconds = Math.round(duration);
            logger.info({ lifetime, notice: "paused", source: "answer", durationMilliseconds }, "server notice");
        }
        listeners.forEach(listener => listener(lifetime));
    }

    return {
        recordHead: (lifetime, { leaving, pause }) => {
            if (pause !== undefined) {
                notePause(lifetime, Math.min(pause, maximumPause));
            }
            if (leaving) {
                noteLeaving(lifetime, 0, "answer");
            }
        },
        mergeLeaving: leaving =>
            // Gateways forget at slightly different times and must not remind each other for ever.
            leaving.filter(({ age }) => age <= memory)
                .forEach(({ age, lifetime }) => noteLeaving(lifetime, age, "gateway")),
        listLeaving: () => listLeaving(table, clock.monotonic()),
        find: lifetime => table.get(lifetime),
        expire: isListed => expireNotices(table, isListed, memory, clock.monotonic()),
        onChange: listener => void listeners.push(listener),
        onLeaving: listener => void leavingListeners.push(listener),
    };
}
