import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import { engineModel } from "./engine.js";

export const zones = ["zone-a", "zone-b", "zone-c"] as const;
export const gatewaysPerZone = 2;
export const enginesPerZone = 4;
export const tick: Milliseconds = 5;
export const reportInterval: Milliseconds = 250;
/** Time for which the draw of a gateway holds. */
export const drawInterval: Milliseconds = 250;
export const reportDelay: Milliseconds = 20;
/** First token within this time counts as in aim. */
export const target: Milliseconds = 410;
export const patience: Milliseconds = 6_000;
/** Share of the target that a request may wait in a gateway. */
export const waitShare = 0.5;
export const callerTries = 2;
export const meanPromptTokens = 800;
export const meanAnswerTokens = 110;
export const accountWeights = [50, 20, 10, 10, 5, 5];
export const urgentShare = 0.2;

/** Requests a second that all engines answer when their slots are full. */
export function measureCapacity(): number {
    const answer = meanAnswerTokens *
        (engineModel.tokenMilliseconds + engineModel.tokenMillisecondsPerAnswer * engineModel.slots);
    const prompt = meanPromptTokens / engineModel.promptTokensPerMillisecond;
    const perEngine = Math.min(1_000 / prompt, engineModel.slots * 1_000 / (answer + prompt));
    return perEngine * enginesPerZone * zones.length;
}

/** Draws an index by weight. */
export function pickWeighted(weights: readonly number[], random: RandomSource): number {
    let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex(weight => (left -= weight) < 0));
}

/** Samples an exponential distribution. */
export function sampleExponential(mean: number, random: RandomSource): number {
    return -Math.log(1 - random.next()) * mean;
}
