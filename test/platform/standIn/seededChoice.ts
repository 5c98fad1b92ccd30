import type { RandomSource } from "../../../src/types/index.js";

/**
 * Draws a whole number.
 *
 * @param random - random source
 * @param least - least number
 * @param most - greatest number
 * @returns the number
 */
export function between(random: RandomSource, least: number, most: number): number {
    return Math.round(least + random.next() * (most - least));
}

/**
 * Draws an item.
 *
 * @param random - random source
 * @param items - items, at least one
 * @returns one of them
 */
export function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}
