import type { Milliseconds } from "../../types/index.js";

/**
 * Share of the remaining time, counted from the head of an answer, after which its pace is checked. The same share of
 * the body must have arrived by then.
 */
const paceCheckShare = 0.5;

/**
 * Computes when the pace of an answer is checked.
 *
 * @param remaining - time that the request has left when the head arrives
 * @returns time after the arrival of the head
 */
export function computePaceCheckDelay(remaining: Milliseconds): Milliseconds {
    return remaining * paceCheckShare;
}

/**
 * Tells whether an answer that is still incomplete at the pace check is expected to complete in time.
 *
 * @param received - bytes of the body that have arrived
 * @param length - length of the body in bytes; undefined if it is unknown, for example if the body ends with its
 * connection
 * @returns true if the rest arrives in time at the rate so far
 */
export function isOnPace(received: number, length: number | undefined): boolean {
    return length !== undefined && received >= length * paceCheckShare;
}
