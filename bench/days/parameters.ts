import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import { engineModel } from "./engine.js";

export const zones = ["zone-a", "zone-b", "zone-c"] as const;
export const gatewaysPerZone = 2;
export const enginesPerZone = 4;
export const tick: Milliseconds = 5;
export const reportInterval: Milliseconds = 250;
/** Time after which each gateway draws a new random number; see `Gateway.draw`. */
export const drawInterval: Milliseconds = 250;
export const reportDelay: Milliseconds = 20;
/** Largest time to the first token that meets the target. */
export const firstTokenTarget: Milliseconds = 410;
export const callerTimeout: Milliseconds = 6_000;
/** Longest wait of a request in a gateway's queue, as a share of the target. */
export const maximumWaitShare = 0.5;
export const maximumCallerTries = 2;
export const meanPromptTokens = 800;
export const meanAnswerTokens = 110;
export const accountWeights = [50, 20, 10, 10, 5, 5];
export const urgentShare = 0.2;

/**
 * Computes the throughput of all engines with full slots.
 *
 * @returns requests per second
 */
export function computeCapacity(): number {
    const answer = meanAnswerTokens *
        (engineModel.tokenMilliseconds + engineModel.tokenMillisecondsPerAnswer * engineModel.slots);
    const prompt = meanPromptTokens / engineModel.promptTokensPerMillisecond;
    const perEngine = Math.min(1_000 / prompt, engineModel.slots * 1_000 / (answer + prompt));
    return perEngine * enginesPerZone * zones.length;
}

/**
 * Picks an index at random, with a probability in proportion to its weight.
 *
 * @param weights - weight of each index
 * @param random - source of randomness
 * @returns the index
 */
export function pickWeighted(weights: readonly number[], random: RandomSource): number {
    let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex(weight => (remaining -= weight) < 0));
}

/**
 * Draws a sample from an exponential distribution.
 *
 * @param mean - mean of the distribution
 * @param random - source of randomness
 * @returns the sample
 */
export function sampleExponential(mean: number, random: RandomSource): number {
    return -Math.log(1 - random.next()) * mean;
}
