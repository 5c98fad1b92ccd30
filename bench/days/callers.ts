import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import {
    accountWeights,
    meanAnswerTokens,
    meanPromptTokens,
    pickWeighted,
    sampleExponential,
    urgentShare,
} from "./parameters.js";
import type { Scenario } from "./scenarios.js";
import type { Caller } from "./summary.js";

/**
 * Creates the caller of a request.
 *
 * @param id - number of the caller
 * @param scenario - draws the size of the request, unless it is exponentially distributed
 * @param random - source of the account, the class and the size
 * @param now - time of the request
 * @returns the caller, which has not tried yet
 */
export function createCaller(id: number, scenario: Scenario, random: RandomSource, now: Milliseconds): Caller {
    return {
        id,
        account: `account-${pickWeighted(accountWeights, random)}`,
        urgent: random.next() < urgentShare,
        begunAt: now,
        ...scenario.sampleRequest?.(random) ?? {
            promptTokens: Math.ceil(sampleExponential(meanPromptTokens, random)),
            answerTokens: Math.ceil(sampleExponential(meanAnswerTokens, random)),
        },
        tries: 0,
        metTarget: false,
        answered: false,
    };
}
