import { createHash } from "node:crypto";

/**
 * Computes a SHA-256 digest.
 *
 * @param parts - texts or bytes, hashed in order without separators
 * @returns lower-case hexadecimal digest
 */
export function computeDigest(...parts: readonly (string | Uint8Array)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(part);
    }
    return hash.digest("hex");
}

const fnvOffsetBasis = 0x811C9DC5;
const fnvPrime = 0x01000193;

function extendHash(hash: number, text: string): number {
    let extended = hash;
    for (let index = 0; index < text.length; index++) {
        extended = Math.imul(extended ^ text.charCodeAt(index), fnvPrime);
    }
    return extended;
}

/** Final mixing; FNV-1a alone mixes the last characters too weakly to rank candidates that differ only there. */
function finalizeHash(hash: number): number {
    let mixed = Math.imul(hash ^ (hash >>> 16), 0x85EBCA6B);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2B2AE35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Creates a score function for rendezvous hashing: each key ranks all candidates by descending score, so that an added
 * or removed candidate moves only its own keys. The key is hashed once.
 *
 * @param key - key to assign to a candidate
 * @returns function that returns the unsigned 32-bit score of a candidate
 */
export function createRendezvousScore(key: string): (candidate: string) => number {
    const keyHash = extendHash(extendHash(fnvOffsetBasis, key), "\u0000");
    return candidate => finalizeHash(extendHash(keyHash, candidate));
}

/**
 * Scores one candidate for rendezvous hashing; see {@link createRendezvousScore}.
 *
 * @param key - key to assign to a candidate
 * @param candidate - identifier of the candidate
 * @returns unsigned 32-bit score
 */
export function scoreRendezvous(key: string, candidate: string): number {
    return createRendezvousScore(key)(candidate);
}

/**
 * Ranks candidates by rendezvous hashing.
 *
 * @param key - key to assign to a candidate
 * @param candidates - identifiers, without duplicates
 * @returns the candidates, best first; ties go to the smaller identifier
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
    const score = createRendezvousScore(key);
    return candidates
        .map(candidate => ({ candidate, score: score(candidate) }))
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
}
