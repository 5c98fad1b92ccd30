/** Running mean and variance of the natural logarithm of a figure. */
export interface LogStatistic {
    mean: number;
    variance: number;
    /** Number of observations, which stops growing at {@link statisticMemory}. */
    count: number;
}

/** Answers to the requests of one route. */
export interface RouteLengths {
    /** Output tokens. */
    readonly output: LogStatistic;
    /** Ratio of the output tokens to the length that the caller stated. */
    readonly ratio: LogStatistic;
}

/** Lengths of answers by route, the route that was used last at the end. */
export type OutputLengthTable = Map<string, RouteLengths>;

/** What is known of the length of an answer before it begins. */
export interface LengthInput {
    readonly route: string;
    /** Length that the caller expects; undefined if it states none. */
    readonly stated: number | undefined;
    /** Undefined if the caller states none. */
    readonly maximum: number | undefined;
    /** Mean length of the answers of the service; undefined if it is not known. */
    readonly usual: number | undefined;
}

/** Length of an answer in output tokens. */
export interface LengthEstimate {
    readonly tokens: number;
    /** Standard deviation of the logarithm of the length. */
    readonly spread: number;
}

/** Observations after which the weight of a new one stops falling, so that a changed mix shows after about as many. */
const statisticMemory = 32;

/** Observations that the assumptions about a new route count for. */
const priorWeight = 4;

/** Assumed spread of a new route and of stated lengths; that of measured mixes of answers is 0.9 to 1. */
const priorSpread = 0.95;

/** Smallest spread, so that a few equal answers do not make all other sources of no weight. */
const minimumSpread = 0.1;

/** Length that is assumed if nothing at all is known. */
const unknownLength = 128;

/** Most routes that are remembered; the one that was used least recently is dropped. */
const maximumRoutes = 1_024;

/** Largest distance of an observation from the mean, in standard deviations, so that one extreme answer moves it little. */
const maximumDeviations = 3;

function createStatistic(mean: number): LogStatistic {
    return { mean, variance: priorSpread ** 2, count: priorWeight };
}

function observe(statistic: LogStatistic, value: number): void {
    statistic.count = Math.min(statisticMemory, statistic.count + 1);
    const limit = maximumDeviations * Math.sqrt(statistic.variance);
    const deviation = Math.min(limit, Math.max(-limit, Math.log(value) - statistic.mean));
    const weight = 1 / statistic.count;
    statistic.mean += weight * deviation;
    statistic.variance = Math.max(
        minimumSpread ** 2,
        (1 - weight) * (statistic.variance + weight * deviation ** 2),
    );
}

function isLength(value: number | undefined): value is number {
    return value !== undefined && Number.isFinite(value) && value > 0;
}

/** Assumes the length of the answers of a new route: the usual one of the service, else half of the maximum. */
function assumeLogLength({ maximum, usual }: LengthInput): number {
    if (isLength(usual)) {
        // The usual length is a mean, which is above the median of a distribution with a heavy tail.
        return Math.log(usual) - priorSpread ** 2 / 2;
    }
    return Math.log(isLength(maximum) ? Math.max(1, maximum / 2) : unknownLength);
}

/**
 * Estimates the mean length of the answer to a request. What the answers of the route had and the length that the caller
 * states are combined in inverse proportion to their measured variances.
 *
 * @param table - lengths by route; not changed
 * @param input - route, and what the caller states; figures that are not positive count as not stated
 * @returns expected output tokens, at least 1 and at most the maximum
 */
export function estimateLength(table: OutputLengthTable, input: LengthInput): LengthEstimate {
    const known = table.get(input.route);
    let mean = known?.output.mean ?? assumeLogLength(input);
    let variance = known?.output.variance ?? priorSpread ** 2;
    if (isLength(input.stated)) {
        const ratioVariance = known?.ratio.variance ?? priorSpread ** 2;
        const corrected = Math.log(input.stated) + (known?.ratio.mean ?? 0);
        const share = variance / (variance + ratioVariance);
        mean += share * (corrected - mean);
        variance *= 1 - share;
    }
    const maximum = isLength(input.maximum) ? input.maximum : Infinity;
    return { tokens: Math.min(maximum, Math.max(1, Math.exp(mean + variance / 2))), spread: Math.sqrt(variance) };
}

/**
 * Records the length of a complete answer.
 *
 * @param table - lengths by route; changed
 * @param input - what was known before the answer
 * @param tokens - output tokens of the answer; ignored unless positive
 */
export function recordLength(table: OutputLengthTable, input: LengthInput, tokens: number): void {
    if (!isLength(tokens)) {
        return;
    }
    const lengths = table.get(input.route) ??
        { output: createStatistic(assumeLogLength(input)), ratio: createStatistic(0) };
    table.delete(input.route);
    table.set(input.route, lengths);
    if (table.size > maximumRoutes) {
        table.delete(table.keys().next().value!);
    }
    observe(lengths.output, tokens);
    if (isLength(input.stated)) {
        observe(lengths.ratio, tokens / input.stated);
    }
}
