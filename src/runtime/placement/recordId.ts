import type { RandomSource } from "../../types/index.js";

/**
 * Creates an identifier for a record.
 *
 * @param random - source of random numbers
 * @returns random UUID (version 4)
 */
export function createRecordId(random: RandomSource): string {
    const digits = Array.from({ length: 32 }, () => Math.floor(random.next() * 16));
    digits[12] = 4;
    digits[16] = 8 + (digits[16]! & 3);
    const text = digits.map(digit => digit.toString(16)).join("");
    return [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]].map(([from, to]) => text.slice(from, to)).join("-");
}
