import type { ManifestDigest } from "../../types/index.js";

/** Weights that an engine has loaded. They only change when the engine accepts an order or restarts. */
export interface LoadedWeightsId {
    /** Start of the engine in milliseconds since 1970; undefined if it is not known. */
    readonly startedAt: number | undefined;
    /** Load orders that the engine had accepted since its start. */
    readonly orderSequence: number;
    readonly weights: ManifestDigest;
}

/** What agents have reported about the weights of an engine; it outlives the reports. */
export interface ReportedWeights {
    /** Weights of the newest report; undefined if it named none, and before the first report. */
    readonly newest: LoadedWeightsId | undefined;
    /** Whether the engine was serving by the newest report. */
    readonly serving: boolean;
    /** Weights that were last reported as verified; undefined if there are none. */
    readonly verified: LoadedWeightsId | undefined;
}

/** What one report says about the weights of an engine. */
export interface WeightsReport {
    /** Start of the engine in milliseconds since 1970; undefined if the report does not state it. */
    readonly startedAt: number | undefined;
    readonly orderSequence: number;
    /** Undefined if none are loaded, or if the engine does not respond. */
    readonly weights: ManifestDigest | undefined;
    readonly serving: boolean;
    /** Whether the agent has verified the loaded weights; undefined if it cannot. */
    readonly verified: boolean | undefined;
}

/** State before the first report. */
export const noReportedWeights: ReportedWeights = { newest: undefined, serving: false, verified: undefined };

function isSame(left: LoadedWeightsId | undefined, right: LoadedWeightsId | undefined): boolean {
    return left?.startedAt === right?.startedAt && left?.orderSequence === right?.orderSequence &&
        left?.weights === right?.weights;
}

/**
 * Records a report. An agent that has just started does not know whether the loaded weights are right, so an earlier
 * verification of the same weights remains valid.
 *
 * @param known - state before the report
 * @param report - the report
 * @param listedStart - start of the engine by the list, for reports that do not state it
 * @returns state after the report
 */
export function recordWeightsReport(
    known: ReportedWeights,
    report: WeightsReport,
    listedStart: number | undefined,
): ReportedWeights {
    const { orderSequence, serving, weights } = report;
    const startedAt = report.startedAt ?? listedStart;
    const newest = weights === undefined ? undefined : { startedAt, orderSequence, weights };
    // Agents of earlier releases report an engine as serving without verifying what it loaded.
    if (newest !== undefined && (report.verified ?? serving)) {
        return { newest, serving, verified: newest };
    }
    // A report without weights and start may be that of an engine that has restarted, and counts orders from 0 again.
    const isKept = newest === undefined ? report.startedAt !== undefined : isSame(newest, known.verified);
    return { newest, serving, verified: isKept ? known.verified : undefined };
}

/**
 * Tells whether the weights of the newest report are verified, by that report or by an earlier one.
 *
 * @param known - what was reported
 * @returns false also before the first report
 */
export function areReportedWeightsVerified({ newest, verified }: ReportedWeights): boolean {
    return newest !== undefined && isSame(newest, verified);
}

/**
 * Tells whether weights that the list names are known to be right, although no agent reports any longer.
 *
 * @param known - what was reported
 * @param startedAt - start of the engine by the list
 * @param weights - weights by the list
 * @returns true if the newest report named the same weights of the same engine start, as verified and serving
 */
export function areListedWeightsVerified(
    known: ReportedWeights,
    startedAt: number | undefined,
    weights: ManifestDigest,
): boolean {
    return known.serving && areReportedWeightsVerified(known) && known.newest!.startedAt === startedAt &&
        known.newest!.weights === weights;
}
