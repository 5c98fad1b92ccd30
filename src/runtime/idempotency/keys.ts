import type { InstanceId, Milliseconds, RandomSource } from "../../types/index.js";
import { createRendezvousScore } from "../../utils/index.js";

const keyPattern = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

function formatHexadecimal(value: number, digits: number): string {
    return value.toString(16).padStart(digits, "0");
}

/**
 * Creates an idempotency key (UUIDv7).
 *
 * @param now - wall-clock time in milliseconds since 1970
 * @param random - source of the 74 random bits
 * @returns the key in lower case
 */
export function createIdempotencyKey(now: Milliseconds, random: RandomSource): string {
    const timeDigits = formatHexadecimal(Math.floor(now), 12);
    const versionGroup = formatHexadecimal(0x7000 + Math.floor(random.next() * 0x1000), 4);
    const variantGroup = formatHexadecimal(0x8000 + Math.floor(random.next() * 0x4000), 4);
    const nodeStart = formatHexadecimal(Math.floor(random.next() * 0x1000000), 6);
    const nodeEnd = formatHexadecimal(Math.floor(random.next() * 0x1000000), 6);
    return `${timeDigits.slice(0, 8)}-${timeDigits.slice(8)}-${versionGroup}-${variantGroup}-${nodeStart}${nodeEnd}`;
}

/**
 * Parses the time at which a key was created.
 *
 * @param key - text that a caller sent as its key
 * @returns milliseconds since 1970 by the caller's clock; undefined if the text is no UUIDv7 in lower case
 */
export function parseKeyTime(key: string): Milliseconds | undefined {
    if (!keyPattern.test(key)) {
        return undefined;
    }
    return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

/**
 * Finds the owner of a key.
 *
 * @param owners - instances among which the keys are distributed, without duplicates
 * @param key - idempotency key
 * @returns the owner with the highest rendezvous score; undefined if there are no owners
 */
export function resolveKeyOwner(owners: readonly InstanceId[], key: string): InstanceId | undefined {
    const scoreOwner = createRendezvousScore(key);
    let best: InstanceId | undefined;
    let bestScore = -1;
    for (const owner of owners) {
        const score = scoreOwner(owner);
        if (score > bestScore || (score === bestScore && best !== undefined && owner < best)) {
            best = owner;
            bestScore = score;
        }
    }
    return best;
}
