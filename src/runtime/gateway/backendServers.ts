import type { ListedBackendServer, LoadedWeights, Milliseconds, Region } from "../../types/index.js";
import { createTable, type Table } from "../../utils/index.js";
import { applyLoadReport, createRunnerRow, type RunnerLoadReport, type RunnerRow } from "../routing/index.js";
import { type AnswerDelay, createAnswerDelay } from "./answerDelay.js";
import {
    areListedWeightsVerified,
    areReportedWeightsVerified,
    noReportedWeights,
    recordWeightsReport,
    type ReportedWeights,
    type WeightsReport,
} from "./reportedWeights.js";
import type { ServerNotice } from "./serverNotices.js";
import { formatWeightName } from "./weightNames.js";

/** Backend server of the list, with its routing state. */
export interface BackendServerRow {
    listed: ListedBackendServer;
    readonly runner: RunnerRow;
    /** How long answers to this process take to begin, in the current lifetime of the backend server. */
    answerDelay: AnswerDelay;
    /** Monotonic time of the newest report of its agent; undefined if there is none or it has expired. */
    reportedAt: Milliseconds | undefined;
    /** What agents have reported about the weights of the backend server. */
    reportedWeights: ReportedWeights;
    /** Monotonic time at which the entry was removed while the list was unreliable; undefined if it is listed. */
    removedAt: Milliseconds | undefined;
}

/** Options of the membership of backend servers. */
export interface MembershipOptions {
    /**
     * Time for which a removed entry is kept after the log has become available again. Backend servers whose entries
     * expired during the outage write them again within this time.
     */
    readonly returnTime: Milliseconds;
    /** Age of the list above which the log counts as unavailable. */
    readonly outageAfter: Milliseconds;
    /** Age above which a report of an agent no longer takes precedence over the list. */
    readonly reportExpiry: Milliseconds;
}

/** Report of the agent beside a backend server. */
export interface AgentReport extends RunnerLoadReport, Pick<WeightsReport, "orderSequence" | "verified"> {
    /** Start of the backend server in milliseconds since 1970; undefined if the agent does not know it. */
    readonly startedAt: number | undefined;
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

function nameCompleteWeights(weights: LoadedWeights | undefined): string | undefined {
    return weights?.complete === true ? formatWeightName(weights.model, weights.version) : undefined;
}

function createRow(listed: ListedBackendServer, region: Region, now: Milliseconds): BackendServerRow {
    const { instance, service, slots, state, zone } = listed;
    const runner = Object.assign(createRunnerRow(service, { instance, zone, region }), {
        draining: state === "draining",
        capacity: slots,
        reportedAt: now,
    });
    const row: BackendServerRow = {
        listed,
        runner,
        answerDelay: createAnswerDelay(),
        reportedAt: undefined,
        reportedWeights: noReportedWeights,
        removedAt: undefined,
    };
    applyListedWeights(row);
    return row;
}

/**
 * Falls back to the weights that the list names. The list shows neither a load that has just been ordered nor whether
 * the loaded weights are right.
 */
function applyListedWeights({ listed, reportedWeights, runner }: BackendServerRow): void {
    const weights = nameCompleteWeights(listed.weights);
    runner.manifestDigest = weights;
    runner.phase = "serving";
    runner.unverified = weights !== undefined && !areListedWeightsVerified(reportedWeights, listed.startedAt, weights);
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
 * Applies an entry of the list.
 *
 * @param table - table to change
 * @param listed - the entry
 * @param region - region of its availability zone
 * @param now - monotonic time
 * @param options - how long reports take precedence over the list
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
    const isSameEndpoint = row?.listed.address === listed.address && row.listed.service === listed.service;
    if (row === undefined || !isSameEndpoint) {
        table.set(listed.instance, createRow(listed, region, now));
        return "added";
    }
    const change = classifyChange(row, listed);
    if (change === "restarted") {
        row.answerDelay = createAnswerDelay();
        row.reportedAt = undefined;
        row.runner.reportedLoad = 0;
        row.runner.ejectedUntil = 0;
        row.runner.consecutiveFailures = 0;
        row.runner.pausedUntil = Number.NEGATIVE_INFINITY;
        row.runner.trial = "none";
    }
    row.removedAt = undefined;
    row.listed = listed;
    row.runner.draining = listed.state === "draining";
    row.runner.capacity = listed.slots;
    if (!isReportFresh(row, now, options)) {
        applyListedWeights(row);
    }
    return change;
}

/**
 * Applies what a backend server has announced in its answers, which takes precedence over the list.
 *
 * @param row - row to change
 * @param notice - notice of its lifetime; undefined if it has announced nothing
 */
export function applyNotice({ runner }: BackendServerRow, notice: ServerNotice | undefined): void {
    runner.draining ||= notice?.leavingSince !== undefined;
    if (notice !== undefined && notice.pausedUntil > runner.pausedUntil) {
        runner.pausedUntil = notice.pausedUntil;
        runner.trial = "due";
    }
}

/**
 * Applies the removal of an entry. While the list is unreliable, the backend server is kept for a time, since entries
 * also expire when the log is unavailable.
 *
 * @param table - table to change
 * @param instance - backend server whose entry was removed
 * @param isReliable - false while the log is unavailable and shortly afterwards
 * @param now - monotonic time
 * @returns what changed; undefined if the backend server is unknown
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
 * Removes the backend servers whose entries were not written again in time.
 *
 * @param table - table to change
 * @param currentSince - monotonic time since which the list has been current; undefined while the log is unavailable
 * @param now - monotonic time
 * @param options - time within which entries are written again
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
 * Applies a report of the agent that runs beside a backend server.
 *
 * @param row - row to change
 * @param report - load and weights
 * @param now - monotonic time at which the report arrived
 */
export function applyAgentReport(row: BackendServerRow, report: AgentReport, now: Milliseconds): void {
    const { capacity, draining } = row.runner;
    applyLoadReport(row.runner, report, now);
    row.reportedAt = now;
    const { manifestDigest: weights, orderSequence, phase, startedAt, verified } = report;
    row.reportedWeights = recordWeightsReport(
        row.reportedWeights,
        { startedAt, orderSequence, weights, serving: phase === "serving", verified },
        row.listed.startedAt,
    );
    // A load that an answer stated may be newer than the report, but says nothing about the weights.
    row.runner.manifestDigest = weights;
    row.runner.phase = phase;
    row.runner.unverified = weights !== undefined && !areReportedWeightsVerified(row.reportedWeights);
    // The agent knows load and weights best, but the list is the first to show that a backend server is draining.
    row.runner.draining = draining || report.draining;
    row.runner.capacity = report.capacity > 0 ? report.capacity : capacity;
}

/**
 * Falls back to the list for backend servers whose agents have stopped reporting. Those whose weights are not known to be
 * right are not used until an agent reports again.
 *
 * @param table - table to change
 * @param now - monotonic time
 * @param options - age at which a report expires
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
            applyListedWeights(row);
            expired.push(row.listed.instance);
        }
    }
    return expired;
}
