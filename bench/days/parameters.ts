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

/** Requests of one kind in the load of a scenario. */
export interface RequestClass {
    readonly name: string;
    /** Its share of the requests, relative to those of the other classes. */
    readonly weight: number;
    /** 0 (lowest) to 9 (highest). */
    readonly priority: number;
    /** Largest time to the first token that meets the target. */
    readonly target: Milliseconds;
    readonly promptTokens: number;
    readonly answerTokens: number;
}

const common = { target: firstTokenTarget, promptTokens: meanPromptTokens, answerTokens: meanAnswerTokens };

/** Classes of a scenario that states none. */
export const ordinaryClasses: readonly RequestClass[] = [
    { ...common, name: "urgent", weight: urgentShare, priority: 8 },
    { ...common, name: "other", weight: 1 - urgentShare, priority: 5 },
];

/** Classes of the engraving deployment that share its engines; an event has five tokens. */
export const engravingClasses: readonly RequestClass[] = [
    { name: "full-engrave", weight: 128, priority: 7, target: 1_003, promptTokens: 1_290, answerTokens: 110 },
    { name: "fingering-hint", weight: 163, priority: 9, target: 402, promptTokens: 787, answerTokens: 110 },
    { name: "part-check", weight: 90.8, priority: 8, target: 402, promptTokens: 607, answerTokens: 70 },
];

function computeMean(classes: readonly RequestClass[], read: (requestClass: RequestClass) => number): number {
    const weights = classes.reduce((sum, { weight }) => sum + weight, 0);
    return classes.reduce((sum, requestClass) => sum + requestClass.weight * read(requestClass), 0) / weights;
}

/**
 * Computes the throughput of all engines with full slots.
 *
 * @param classes - classes of the load. Default: those of a scenario that states none.
 * @returns requests per second
 */
export function computeCapacity(classes: readonly RequestClass[] = ordinaryClasses): number {
    const answer = computeMean(classes, ({ answerTokens }) => answerTokens) *
        (engineModel.tokenMilliseconds + engineModel.tokenMillisecondsPerAnswer * engineModel.slots);
    const prompt = computeMean(classes, ({ promptTokens }) => promptTokens) / engineModel.promptTokensPerMillisecond;
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

/**
 * Draws the account, the class and the size of a request.
 *
 * @param classes - classes of the load
 * @param random - source of randomness
 * @returns the request
 */
export function drawRequest(classes: readonly RequestClass[], random: RandomSource) {
    const account = `account-${pickWeighted(accountWeights, random)}`;
    const requestClass = classes[pickWeighted(classes.map(({ weight }) => weight), random)]!;
    const promptTokens = Math.ceil(sampleExponential(requestClass.promptTokens, random));
    const answerTokens = Math.ceil(sampleExponential(requestClass.answerTokens, random));
    return { account, requestClass, promptTokens, answerTokens };
}
