import type { RandomSource } from "../../src/types/index.js";
import { meanAnswerTokens, meanPromptTokens } from "./parameters.js";
import type { RequestSize, Scenario } from "./scenarios.js";

/** Spread of the logarithm of the sizes, and largest size as a multiple of the mean. */
const sizeSpread = 0.95;
const maximumFactor = 4;

/** Spread of the logarithm of the ratio of the stated to the real length of an answer. */
const statedSpread = 0.9;

function sampleNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

function sampleSize(mean: number, random: RandomSource): number {
    const size = Math.exp(Math.log(mean) - sizeSpread ** 2 / 2 + sizeSpread * sampleNormal(random));
    return Math.ceil(Math.min(maximumFactor * mean, size));
}

function sampleRequest(random: RandomSource): RequestSize {
    const answerTokens = sampleSize(meanAnswerTokens, random);
    return {
        promptTokens: sampleSize(meanPromptTokens, random),
        answerTokens,
        statedTokens: Math.ceil(answerTokens * Math.exp(statedSpread * sampleNormal(random))),
    };
}

function createHeavyTail(load: number, slowness: readonly number[]): () => Scenario {
    return () => ({
        load: () => load,
        updateEngines: ({ engines }) => {
            engines.forEach((engine, index) => {
                engine.slowness = slowness[index % slowness.length]!;
            });
        },
        sampleRequest,
    });
}

/** Scenarios in which sizes of requests have a heavy tail and the lengths that callers state are often far off. */
export const heavyTailScenarios: Readonly<Record<string, () => Scenario>> = {
    "heavy tail": createHeavyTail(0.75, [1]),
    "heavy tail, overload": createHeavyTail(1.2, [1]),
    "heavy tail, unequal speed": createHeavyTail(0.6, [1, 1, 1.6]),
};
