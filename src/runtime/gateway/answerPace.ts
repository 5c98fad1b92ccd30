import type { Milliseconds } from "../../types/index.js";

/** Share of the time left at the head of an answer after which its pace is judged. */
const judgedShare = 0.5;

/**
 * Computes when the pace of an answer is judged.
 *
 * @param remaining - time that its request has left at its head
 * @returns time from the head on
 */
export function judgePaceAfter(remaining: Milliseconds): Milliseconds {
    return remaining * judgedShare;
}

/**
 * Tells whether an answer that is not complete when its pace is judged will be complete in time.
 *
 * @param received - bytes of the body that have arrived
 * @param length - bytes of the whole body; undefined if they are not known, as when it goes on until its connection ends
 * @returns true if the rest arrives in time at the pace so far
 */
export function isOnPace(received: number, length: number | undefined): boolean {
    return length !== undefined && received >= length * judgedShare;
}
