import type { Fingerprint } from "../../types/index.js";
import { createRendezvousScore } from "../../utils/index.js";
import { isPartFingerprint } from "./promptParts.js";
import type { CrashRow } from "./types.js";

const scores = 2 ** 32;

/**
 * Selects a sample of the parts of a crash. Long prompts may bring more than can be stored; a part that crashes backend
 * servers is in many of the samples, and then in all of them.
 *
 * @param crashId - the crash, which decides on the sample, so that all processes select the same
 * @param fingerprints - requests and parts
 * @param maximum - number of parts in the sample, on average
 * @param isKnown - tells which parts were in other crashes; they are selected in any case
 * @returns the requests, the known parts and the sample of the others
 */
export function sampleParts(
    crashId: string,
    fingerprints: readonly Fingerprint[],
    maximum: number,
    isKnown: (part: Fingerprint) => boolean,
): readonly Fingerprint[] {
    if (fingerprints.length <= maximum) {
        return fingerprints;
    }
    const limit = scores * maximum / fingerprints.length;
    const score = createRendezvousScore(crashId);
    return fingerprints.filter(fingerprint =>
        !isPartFingerprint(fingerprint) || isKnown(fingerprint) || score(fingerprint) < limit
    );
}

/** Lists the parts of each crash that were in no other one. */
function listSingleParts(rows: readonly CrashRow[]): ReadonlyMap<CrashRow, Fingerprint[]> {
    const counts = new Map<Fingerprint, number>();
    for (const { fingerprints } of rows) {
        fingerprints.forEach(fingerprint => counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1));
    }
    return new Map(rows.map(row => [
        row,
        [...row.fingerprints].filter(fingerprint => isPartFingerprint(fingerprint) && counts.get(fingerprint) === 1),
    ]));
}

/** Finds the number of parts to which the largest lists have to be cut so that so many fall away. */
function findSharedLimit(sizes: readonly number[], excess: number): number {
    const descending = [...sizes].sort((left, right) => right - left);
    let sum = 0;
    for (const [index, size] of descending.entries()) {
        sum += size;
        const limit = Math.floor((sum - excess) / (index + 1));
        if (limit >= (descending[index + 1] ?? 0)) {
            return Math.max(0, limit);
        }
    }
    return 0;
}

/**
 * Drops parts that were in one crash only, from the crashes that have the most of them. Those in several crashes are what
 * a verdict needs.
 *
 * @param rows - crashes to change
 * @param excess - number of parts to drop
 */
export function dropSingleParts(rows: readonly CrashRow[], excess: number): void {
    const singles = listSingleParts(rows);
    const limit = findSharedLimit([...singles.values()].map(parts => parts.length), excess);
    for (const [{ crashId, events, fingerprints }, parts] of singles) {
        if (parts.length > limit) {
            const score = createRendezvousScore(crashId);
            const ranked = parts.map(part => ({ part, score: score(part) })).sort((a, b) => a.score - b.score);
            for (const { part } of ranked.slice(limit)) {
                fingerprints.delete(part);
                events.delete(part);
            }
        }
    }
}
