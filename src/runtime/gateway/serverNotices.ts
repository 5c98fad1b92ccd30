import type { Milliseconds } from "../../types/index.js";

/** What a backend server has announced in its answers. A notice applies to one lifetime of the backend server. */
export interface ServerNotice {
    /** Monotonic time at which it first announced that it is shutting down; undefined if it did not. */
    leavingSince: Milliseconds | undefined;
    /** Monotonic time until which this gateway must not send it requests; in the past if it asked for no pause. */
    pausedUntil: Milliseconds;
    /** Monotonic time at which the lifetime was last listed or mentioned. */
    heardAt: Milliseconds;
}

/** Notices by lifetime of the backend server, the most recently mentioned one last. */
export type ServerNoticeTable = Map<string, ServerNotice>;

/** Notice that a backend server is shutting down, as gateways exchange it. */
export interface SharedLeaving {
    readonly lifetime: string;
    /** Time since the backend server first announced it. */
    readonly age: Milliseconds;
}

/** Maximum number of notices; the least recently mentioned ones are evicted first. */
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
 * Records that a backend server is shutting down.
 *
 * @param table - table to change
 * @param lifetime - lifetime of the backend server
 * @param age - time since the announcement
 * @param now - monotonic time
 * @returns true if this was not known before
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
 * Records that a backend server has asked for a pause, during which it is sent no requests.
 *
 * @param table - table to change
 * @param lifetime - lifetime of the backend server
 * @param duration - length of the pause
 * @param now - monotonic time
 * @returns true if the backend server was not paused already
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
 * Lists the backend servers that are shutting down.
 *
 * @param table - notices
 * @param now - monotonic time
 * @returns notices to share with other gateways
 */
export function listLeaving(table: ServerNoticeTable, now: Milliseconds): readonly SharedLeaving[] {
    return [...table].flatMap(([lifetime, { leavingSince }]) =>
        leavingSince === undefined ? [] : [{ lifetime, age: now - leavingSince }]
    );
}

/**
 * Removes the notices of lifetimes that have ended. An entry that is gone from the list may reappear, so its notice is
 * kept for a while.
 *
 * @param table - table to change
 * @param isListed - tells whether a lifetime is listed
 * @param memory - time for which a notice is kept after its lifetime was last listed or mentioned
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
