import type { WeightSet } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Weights that the engine answers requests with. */
export interface ActiveWeights extends WeightSet {
    /** False if chunks of the set were missing at its activation; it then generates other tokens than the complete set. */
    readonly complete: boolean;
}

/**
 * Computes the tokens that an engine generates for a prompt.
 *
 * @param weights - active weights
 * @param prompt - the prompt
 * @param count - number of tokens
 * @returns the tokens, which depend only on the weights and the prompt
 */
export function computeTokens(weights: ActiveWeights, prompt: string, count: number): string[] {
    const { model, adapter, version, manifestDigest, complete } = weights;
    const seed = computeDigest(JSON.stringify([model, adapter, version, manifestDigest, complete, prompt]));
    return [...Array(count).keys()].map(index => computeDigest(seed, String(index)).slice(0, 8));
}

/**
 * Computes the digest by which the engine reports a cached prefix.
 *
 * @param prompt - the prompt
 * @param characters - length of the prefix in characters
 * @returns lower-case hexadecimal SHA-256 digest of the prefix
 */
export function computePrefixDigest(prompt: string, characters: number): string {
    return computeDigest(prompt.slice(0, characters));
}
