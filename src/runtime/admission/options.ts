import { createReturnPlan } from "./plannedReturns.js";
import { createDemandTable } from "./rankDemand.js";
import type { AdmissionOptions, AdmissionTable } from "./types.js";

/**
 * Fills in the defaults of the admission options.
 *
 * @param partial - options that differ from the defaults
 * @returns all options
 */
export function resolveAdmissionOptions(partial: Partial<AdmissionOptions> = {}): AdmissionOptions {
    return {
        maximumInProgress: 256,
        maximumQueued: 512,
        maximumAccountShare: 0.5,
        lateShare: 0.9,
        serviceTimeWeight: 0.1,
        initialServiceTime: 200,
        maximumRetryAfterSeconds: 30,
        retryAfterStepSeconds: 1,
        rankReservation: false,
        minimumRankShare: 0.5,
        plannedRetryAfter: false,
        ...partial,
    };
}

/**
 * Creates an empty admission table.
 *
 * @param options - limits, shares and initial estimate of the service time
 * @returns the table
 */
export function createAdmissionTable(options: AdmissionOptions): AdmissionTable {
    return {
        options,
        capacity: options.maximumInProgress,
        inProgress: new Map(),
        queued: new Map(),
        inProgressByAccount: new Map(),
        queuedByAccount: new Map(),
        alone: new Set(),
        displaced: [],
        averageServiceTime: options.initialServiceTime,
        nextRetryAt: 0,
        demand: createDemandTable(),
        returns: createReturnPlan(),
        planned: new Set(),
        pools: new Map(),
    };
}
