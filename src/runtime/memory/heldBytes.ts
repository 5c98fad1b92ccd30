import type { Milliseconds } from "../../types/index.js";

/**
 * What bytes are held for: a request that has not arrived completely, one that has, or an answer that its caller does
 * not read.
 */
export type HeldStage = "arriving" | "running" | "unread";

/** Bytes that are held for one request. */
export interface HeldRow {
    readonly stage: HeldStage;
    /** All bytes of the row, with those of answers of backend servers that have not been written to the caller. */
    readonly bytes: number;
    /** Monotonic time at which the stage began. */
    readonly since: Milliseconds;
}

/** Thresholds of a limit on held bytes. */
export interface HeldThresholds {
    /** From this number of bytes on, new requests are refused. */
    readonly refuse: number;
    /** Below this number of bytes, new requests are accepted again. */
    readonly accept: number;
    /** From this number of bytes on, bodies of requests are not read. */
    readonly pause: number;
    /** Number of bytes above which something is ended. */
    readonly limit: number;
}

/** A quarter of the limit is left to requests and answers that have begun. */
const refuseShare = 0.75;
const acceptShare = 0.65;
const pauseShare = 0.9;

/** Time after which a request that arrives slowly, or an answer that is not read, is ended while others are refused. */
export const stallLimit: Milliseconds = 2_000;

/**
 * Computes the thresholds of a limit.
 *
 * @param limit - bytes that may be held; `Infinity` for no limit
 * @returns the thresholds
 */
export function computeHeldThresholds(limit: number): HeldThresholds {
    return { refuse: limit * refuseShare, accept: limit * acceptShare, pause: limit * pauseShare, limit };
}

/**
 * Decides whether new requests are refused.
 *
 * @param wasRefusing - whether they were refused before
 * @param bytes - bytes that are held
 * @param thresholds - thresholds of the limit
 * @returns true if they are refused
 */
export function decideRefusing(wasRefusing: boolean, bytes: number, { accept, refuse }: HeldThresholds): boolean {
    return bytes >= (wasRefusing ? accept : refuse);
}

/** Product of bytes and time, in byte milliseconds; requests of which the answer is on its way count 0. */
function weigh({ bytes, since, stage }: HeldRow, now: Milliseconds): number {
    return stage === "running" ? 0 : bytes * (1 + Math.max(0, now - since));
}

/**
 * Chooses what is ended to free memory: the request that arrives slowly, or the answer that is not read, whose bytes are
 * the most and the oldest (by the product of both). Requests that run are never chosen.
 *
 * @param rows - what is held
 * @param now - monotonic time
 * @param minimumAge - time for which the stage of a row must have lasted. Default: 0
 * @returns the row; undefined if there is none
 */
export function chooseEnded<Row extends HeldRow>(
    rows: Iterable<Row>,
    now: Milliseconds,
    minimumAge: Milliseconds = 0,
): Row | undefined {
    let chosen: Row | undefined;
    let highest = 0;
    for (const row of rows) {
        const weight = weigh(row, now);
        if (weight > highest && now - row.since >= minimumAge) {
            chosen = row;
            highest = weight;
        }
    }
    return chosen;
}
