import type { Milliseconds } from "../../types/index.js";
import { addRouteSample, createRouteSampleTable, readRouteQuantile, type RouteSampleTable } from "./routeSamples.js";

/** Quantile that serves as the typical silence; while some backend servers are slow, most answers still are not. */
const typicalSilenceQuantile = 0.5;
/** Factor by which a silence must exceed the typical one. */
const unusualSilenceFactor = 2;

/** Settings of one request that bound its limit of silence. */
export interface SilenceBounds {
    /** Shortest limit of silence. */
    readonly shortest: Milliseconds;
    /** Time that the request has left. */
    readonly remaining: Milliseconds;
}

/** Longest time without a byte in each recent answer, by route. */
export type AnswerSilenceTable = RouteSampleTable;

/**
 * Creates an empty table of silences.
 *
 * @returns the table, without routes
 */
export function createAnswerSilenceTable(): AnswerSilenceTable {
    return createRouteSampleTable();
}

/**
 * Records an answer that is complete.
 *
 * @param table - longest silences of recent answers; changed
 * @param route - name of the route
 * @param silence - longest time without a byte, from the start of the attempt to the end of the answer
 */
export function recordAnswerSilence(table: AnswerSilenceTable, route: string, silence: Milliseconds): void {
    addRouteSample(table, route, silence);
}

function computeUnusualSilence(table: AnswerSilenceTable, route: string): Milliseconds | undefined {
    const typical = readRouteQuantile(table, route, typicalSilenceQuantile);
    return typical === undefined ? undefined : typical * unusualSilenceFactor;
}

/**
 * Computes the time that another attempt must have left to be worth its load: as much as the silent one has had, or
 * less if the answers of its route usually begin sooner.
 *
 * @param table - longest silences of recent answers
 * @param route - name of the route
 * @param silence - time without a byte of the silent attempt
 * @returns the least time
 */
export function computeNeededTime(table: AnswerSilenceTable, route: string, silence: Milliseconds): Milliseconds {
    return Math.min(silence, computeUnusualSilence(table, route) ?? silence);
}

/**
 * Computes the time without a byte after which a backend server counts as silent: longer than its route's answers
 * usually are.
 *
 * @param table - longest silences of recent answers
 * @param route - name of the route
 * @param bounds - shortest limit and time left
 * @returns time without a byte; `Infinity` if another attempt that starts then would have too little time left
 */
export function computeSilenceLimit(
    table: AnswerSilenceTable,
    route: string,
    { remaining, shortest }: SilenceBounds,
): Milliseconds {
    const limit = Math.max(shortest, computeUnusualSilence(table, route) ?? 0);
    return remaining - limit >= computeNeededTime(table, route, limit) ? limit : Infinity;
}
