import type { WeightSet } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Weights that compute an answer. */
export interface AnsweringWeights extends WeightSet {
    /** False if the set lacked chunks when it was activated; its tokens differ from those of the complete set. */
    readonly complete: boolean;
}

/**
 * Computes the tokens that an engine generates for a prompt.
 *
 * @param weights - weights that answer
 * @param prompt - the prompt
 * @param count - number of tokens
 * @returns the tokens; they depend on nothing else
 */
export function computeTokens(weights: AnsweringWeights, prompt: string, count: number): string[] {
    const { model, adapter, version, manifestDigest, complete } = weights;
    const seed = computeDigest(JSON.stringify([model, adapter, version, manifestDigest, complete, prompt]));
    return [...Array(count).keys()].map(index => computeDigest(seed, String(index)).slice(0, 8));
}

/**
 * Computes the name under which the engine reports a cached prefix.
 *
 * @param prompt - the prompt
 * @param characters - length of the prefix
 * @returns lower-case hexadecimal SHA-256 digest of the beginning of the prompt
 */
export function computePrefixDigest(prompt: string, characters: number): string {
    return computeDigest(prompt.slice(0, characters));
}
