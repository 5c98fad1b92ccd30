import type { ListedBackendServer, LoadedWeights, Milliseconds, Region } from "../../types/index.js";
import { createTable, type Table } from "../../utils/index.js";
import { applyLoadReport, createRunnerRow, type RunnerLoadReport, type RunnerRow } from "../routing/index.js";
import type { ServerNotice } from "./serverNotices.js";
import { nameWeights } from "./weightNames.js";

/** Backend server that requests may be sent to. */
export interface BackendServerRow {
    listed: ListedBackendServer;
    readonly runner: RunnerRow;
    /** Monotonic time of the newest report of its agent; undefined if none came. */
    reportedAt: Milliseconds | undefined;
    /** Monotonic time at which the entry was removed while the list was not reliable; undefined if it is listed. */
    removedAt: Milliseconds | undefined;
}

/** Options of the membership of backend servers. */
export interface MembershipOptions {
    /**
     * Time for which an entry may be missing once the log answers again: entries that lapsed meanwhile come back in it.
     */
    readonly returnTime: Milliseconds;
    /** Age of the list from which on the log counts as away. */
    readonly outageAfter: Milliseconds;
    /** Time after which a report of an agent no longer goes before the list. */
    readonly reportExpiry: Milliseconds;
}

/** Backend servers by instance, with an index by service. */
export type BackendServerTable = Table<string, BackendServerRow>;

/** Why a backend server changed; part of the log line. */
export type MembershipChange = "added" | "changed" | "draining" | "restarted" | "removed" | "removal-held";

/**
 * Creates an empty table of backend servers.
 *
 * @returns the table, with the index `service`
 */
export function createBackendServerTable(): BackendServerTable {
    return createTable<string, BackendServerRow>({ service: ({ listed }) => listed.service });
}

function nameLoaded(weights: LoadedWeights | undefined): string | undefined {
    return weights?.complete === true ? nameWeights(weights.model, weights.version) : undefined;
}

function createRow(listed: ListedBackendServer, region: Region, now: Milliseconds): BackendServerRow {
    const { instance, service, slots, state, weights, zone } = listed;
    const runner = Object.assign(createRunnerRow(service, { instance, zone, region }), {
        manifestDigest: nameLoaded(weights),
        phase: "serving",
        draining: state === "draining",
        capacity: slots,
        reportedAt: now,
    });
    return { listed, runner, reportedAt: undefined, removedAt: undefined };
}

function isReportFresh(row: BackendServerRow, now: Milliseconds, options: MembershipOptions): boolean {
    return row.reportedAt !== undefined && now - row.reportedAt <= options.reportExpiry;
}

function classifyChange(row: BackendServerRow, listed: ListedBackendServer): MembershipChange {
    if (row.listed.startedAt !== listed.startedAt) {
        return "restarted";
    }
    return row.listed.state !== listed.state && listed.state === "draining" ? "draining" : "changed";
}

/**
 * Takes an entry of the list over.
 *
 * @param table - table to change
 * @param listed - the entry
 * @param region - region of its availability zone
 * @param now - monotonic time
 * @param options - how long reports go before the list
 * @returns what changed
 */
export function applyListed(
    table: BackendServerTable,
    listed: ListedBackendServer,
    region: Region,
    now: Milliseconds,
    options: MembershipOptions,
): MembershipChange {
    const row = table.get(listed.instance);
    const isSamePlace = row?.listed.address === listed.address && row.listed.service === listed.service;
    if (row === undefined || !isSamePlace) {
        table.set(listed.instance, createRow(listed, region, now));
        return "added";
    }
    const change = classifyChange(row, listed);
    if (change === "restarted") {
        row.reportedAt = undefined;
        row.runner.reportedLoad = 0;
        row.runner.ejectedUntil = 0;
        row.runner.successiveFailures = 0;
        row.runner.pausedUntil = Number.NEGATIVE_INFINITY;
        row.runner.trial = "none";
    }
    row.removedAt = undefined;
    row.listed = listed;
    row.runner.draining = listed.state === "draining";
    row.runner.capacity = listed.slots;
    if (!isReportFresh(row, now, options)) {
        row.runner.manifestDigest = nameLoaded(listed.weights);
        row.runner.phase = "serving";
    }
    return change;
}

/**
 * Applies what a backend server has said of itself, which goes before what the list says.
 *
 * @param row - row to change
 * @param notice - notice of its lifetime; undefined if it has said nothing
 */
export function applyNotice({ runner }: BackendServerRow, notice: ServerNotice | undefined): void {
    runner.draining ||= notice?.leavingSince !== undefined;
    if (notice !== undefined && notice.pausedUntil > runner.pausedUntil) {
        runner.pausedUntil = notice.pausedUntil;
        runner.trial = "due";
    }
}

/**
 * Takes the removal of an entry over. While the list is not reliable, the backend server stays for a time, since entries
 * lapse when the log is away.
 *
 * @param table - table to change
 * @param instance - backend server whose entry was removed
 * @param isReliable - false while the log is away and shortly after
 * @param now - monotonic time
 * @returns what changed; undefined if the backend server is not known
 */
export function applyRemoved(
    table: BackendServerTable,
    instance: string,
    isReliable: boolean,
    now: Milliseconds,
): MembershipChange | undefined {
    const row = table.get(instance);
    if (row === undefined) {
        return undefined;
    }
    if (isReliable) {
        table.delete(instance);
        return "removed";
    }
    row.removedAt ??= now;
    return "removal-held";
}

/**
 * Removes the backend servers whose entries did not come back in time.
 *
 * @param table - table to change
 * @param currentSince - monotonic time since which the list has been current; undefined while the log is away
 * @param now - monotonic time
 * @param options - time in which entries come back
 * @returns the removed backend servers
 */
export function expireRemoved(
    table: BackendServerTable,
    currentSince: Milliseconds | undefined,
    now: Milliseconds,
    options: MembershipOptions,
): readonly string[] {
    if (currentSince === undefined || now - currentSince < options.returnTime) {
        return [];
    }
    const expired = [...table.rows()].filter(({ removedAt }) => removedAt !== undefined);
    for (const { listed } of expired) {
        table.delete(listed.instance);
    }
    return expired.map(({ listed }) => listed.instance);
}

/**
 * Takes a report of the agent beside a backend server over.
 *
 * @param row - row to change
 * @param report - load and weights
 * @param now - monotonic time at which it arrived
 */
export function applyAgentReport(row: BackendServerRow, report: RunnerLoadReport, now: Milliseconds): void {
    const { capacity, draining } = row.runner;
    applyLoadReport(row.runner, report, now);
    row.reportedAt = now;
    // An agent knows its backend server's load and weights; whether it leaves, the list says first.
    row.runner.draining = draining || report.draining;
    row.runner.capacity = report.capacity > 0 ? report.capacity : capacity;
}

/**
 * Falls back to what the list says of backend servers whose agents have fallen silent.
 *
 * @param table - table to change
 * @param now - monotonic time
 * @param options - time after which a report no longer counts
 * @returns backend servers whose reports expired
 */
export function expireReports(
    table: BackendServerTable,
    now: Milliseconds,
    options: MembershipOptions,
): readonly string[] {
    const expired: string[] = [];
    for (const row of table.rows()) {
        if (row.reportedAt !== undefined && !isReportFresh(row, now, options)) {
            row.reportedAt = undefined;
            row.runner.manifestDigest = nameLoaded(row.listed.weights);
            row.runner.phase = "serving";
            expired.push(row.listed.instance);
        }
    }
    return expired;
}
