import type { EngineRow, EngineTiming, Milliseconds } from "../../types/index.js";

/** Mean size of the requests of a service. */
export interface UsualRequest {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Expected cost of a request at an engine of its service. */
export interface RequestCost {
    readonly timing: EngineTiming;
    /** Requests that an engine runs at once. */
    readonly slots: number;
    /** Mean request, in units of which the requests of other gateways are counted. */
    readonly usual: UsualRequest;
    readonly promptTokens: number;
    /** Expected output tokens. */
    readonly outputTokens: number;
    /** Time in which an idle engine reads the prompt. */
    readonly prefill: Milliseconds;
    /** Time in which an idle engine reads the prompt of the usual request. */
    readonly usualPrefill: Milliseconds;
    /** Time in which an engine with full slots writes the answer to the usual request. */
    readonly usualDecode: Milliseconds;
}

function isPositive(value: number): boolean {
    return Number.isFinite(value) && value > 0;
}

function isAmount(value: number): boolean {
    return Number.isFinite(value) && value >= 0;
}

/**
 * Tells whether the timing of an engine can be used to compute costs.
 *
 * @param timing - timing as the configuration states it
 * @returns false if it is not stated, or if a figure is out of range
 */
export function isUsableTiming(timing: EngineTiming | undefined): timing is EngineTiming {
    return timing !== undefined &&
        [timing.stepTime, timing.promptTokensPerSecond, timing.passTokens, timing.stepsPerPass].every(isPositive) &&
        [timing.stepTimePerRequest, timing.stepTimePerThousandTokens, timing.timePerMillionPairs].every(isAmount) &&
        (timing.memoryTokens === undefined || isPositive(timing.memoryTokens));
}

/**
 * Computes the time in which an idle engine reads a prompt.
 *
 * @param timing - timing of the engine
 * @param promptTokens - length of the prompt
 * @returns time, without the steps of other requests in between
 */
export function computePrefillTime(timing: EngineTiming, promptTokens: number): Milliseconds {
    const pairs = promptTokens ** 2 / 2_000_000;
    return promptTokens * 1_000 / timing.promptTokensPerSecond + pairs * timing.timePerMillionPairs;
}

/**
 * Computes the time of a step that writes one token of each answer in progress.
 *
 * @param timing - timing of the engine
 * @param requests - answers in progress
 * @param contextTokens - prompt and output tokens of a single answer, on average
 * @returns time of the step
 */
export function computeStepTime(timing: EngineTiming, requests: number, contextTokens: number): Milliseconds {
    return timing.stepTime +
        requests * (timing.stepTimePerRequest + timing.stepTimePerThousandTokens * contextTokens / 1_000);
}

/**
 * Computes the cost of a request.
 *
 * @param engine - engine of the service
 * @param request - prompt tokens and expected output tokens
 * @param stated - mean request of the service; sizes below one token count as one
 * @returns the cost; undefined if the timing of the engine cannot be used
 */
export function computeRequestCost(
    { slots, timing }: Pick<EngineRow, "slots" | "timing">,
    { outputTokens, promptTokens }: UsualRequest,
    stated: UsualRequest,
): RequestCost | undefined {
    if (!isUsableTiming(timing) || !isPositive(slots)) {
        return undefined;
    }
    const usual = {
        promptTokens: Math.max(1, stated.promptTokens),
        outputTokens: Math.max(1, stated.outputTokens),
    };
    const context = usual.promptTokens + usual.outputTokens / 2;
    return {
        timing,
        slots,
        usual,
        promptTokens,
        outputTokens,
        prefill: computePrefillTime(timing, promptTokens),
        usualPrefill: computePrefillTime(timing, usual.promptTokens),
        usualDecode: usual.outputTokens * computeStepTime(timing, slots, context),
    };
}
