import type { Milliseconds } from "../../types/index.js";

/** What a backend server has said of itself in its answers. It holds for one lifetime. */
export interface ServerNotice {
    /** Monotonic time at which it first said that it leaves; undefined if it did not. */
    leavingSince: Milliseconds | undefined;
    /** Monotonic time until which it wants no requests of this gateway; in the past if it has not said so. */
    pausedUntil: Milliseconds;
    /** Monotonic time at which it was heard last. */
    heardAt: Milliseconds;
}

/** Notices by lifetime of the backend server, the one heard last at the end. */
export type ServerNoticeTable = Map<string, ServerNotice>;

/** Backend server that leaves, as gateways tell each other. */
export interface SharedLeaving {
    readonly lifetime: string;
    /** Time since it first said so. */
    readonly age: Milliseconds;
}

/** Most lifetimes that are remembered; those that were heard of the longest time ago are forgotten first. */
const maximumNotices = 10_000;

function touch(table: ServerNoticeTable, lifetime: string, now: Milliseconds): ServerNotice {
    const notice = table.get(lifetime) ?? { leavingSince: undefined, pausedUntil: -Infinity, heardAt: now };
    notice.heardAt = now;
    table.delete(lifetime);
    table.set(lifetime, notice);
    while (table.size > maximumNotices) {
        table.delete(table.keys().next().value!);
    }
    return notice;
}

/**
 * Records that a backend server leaves.
 *
 * @param table - table to change
 * @param lifetime - lifetime of the backend server
 * @param age - time since it said so
 * @param now - monotonic time
 * @returns true if that was not known
 */
export function recordLeaving(
    table: ServerNoticeTable,
    lifetime: string,
    age: Milliseconds,
    now: Milliseconds,
): boolean {
    const notice = touch(table, lifetime, now);
    const isNew = notice.leavingSince === undefined;
    notice.leavingSince = Math.min(notice.leavingSince ?? Infinity, now - age);
    return isNew;
}

/**
 * Records that a backend server wants no requests for a while.
 *
 * @param table - table to change
 * @param lifetime - lifetime of the backend server
 * @param duration - time for which it wants none
 * @param now - monotonic time
 * @returns true if it did not pause already
 */
export function recordPause(
    table: ServerNoticeTable,
    lifetime: string,
    duration: Milliseconds,
    now: Milliseconds,
): boolean {
    const notice = touch(table, lifetime, now);
    const isNew = notice.pausedUntil <= now;
    notice.pausedUntil = Math.max(notice.pausedUntil, now + duration);
    return isNew;
}

/**
 * Lists the backend servers that leave.
 *
 * @param table - notices
 * @param now - monotonic time
 * @returns what other gateways are to know
 */
export function listLeaving(table: ServerNoticeTable, now: Milliseconds): readonly SharedLeaving[] {
    return [...table].flatMap(([lifetime, { leavingSince }]) =>
        leavingSince === undefined ? [] : [{ lifetime, age: now - leavingSince }]
    );
}

/**
 * Forgets the notices of lifetimes that have ended. A lifetime that is no longer listed may come back, so it is
 * remembered for a while.
 *
 * @param table - table to change
 * @param isListed - tells whether a lifetime is listed
 * @param memory - time for which a lifetime is remembered after it was listed or heard of last
 * @param now - monotonic time
 */
export function expireNotices(
    table: ServerNoticeTable,
    isListed: (lifetime: string) => boolean,
    memory: Milliseconds,
    now: Milliseconds,
): void {
    for (const [lifetime, notice] of [...table]) {
        if (isListed(lifetime)) {
            notice.heardAt = now;
        }
        else if (now - notice.heardAt > memory) {
            table.delete(lifetime);
        }
    }
}
