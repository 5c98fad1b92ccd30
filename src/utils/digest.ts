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

/**
 * Scores a candidate for rendezvous hashing: each key ranks all candidates by descending score, and a change of the
 * candidates moves only the keys of those that came or went.
 *
 * @param key - what is assigned
 * @param candidate - whom it may be assigned to
 * @returns unsigned 32-bit score
 */
export function scoreRendezvous(key: string, candidate: string): number {
    let hash = fnvOffsetBasis;
    for (const text of [key, "\u0000", candidate]) {
        for (let index = 0; index < text.length; index++) {
            hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
        }
    }
    // FNV-1a alone mixes the last characters too little to rank candidates that differ only there.
    hash = Math.imul(hash ^ (hash >>> 16), 0x85EBCA6B);
    hash = Math.imul(hash ^ (hash >>> 13), 0xC2B2AE35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Ranks candidates by rendezvous hashing.
 *
 * @param key - what is assigned
 * @param candidates - identifiers, without repeats
 * @returns the candidates, best first; ties go to the smaller identifier
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
    return candidates
        .map(candidate => ({ candidate, score: scoreRendezvous(key, candidate) }))
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
}
