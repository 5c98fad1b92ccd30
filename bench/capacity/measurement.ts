/** One measured or calculated value. */
export interface CapacityFigure {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    /** Largest value that is allowed; undefined for figures without a budget. */
    readonly budget?: number | undefined;
}

/**
 * Fits a line through points by least squares.
 *
 * @param points - pairs of size and value; at least two sizes
 * @returns value at size 0 and value for each unit of size
 */
export function fitLine(points: readonly (readonly [size: number, value: number])[]) {
    const meanSize = points.reduce((sum, [size]) => sum + size, 0) / points.length;
    const meanValue = points.reduce((sum, [, value]) => sum + value, 0) / points.length;
    const covariance = points.reduce((sum, [size, value]) => sum + (size - meanSize) * (value - meanValue), 0);
    const variance = points.reduce((sum, [size]) => sum + (size - meanSize) ** 2, 0);
    const slope = covariance / variance;
    return { intercept: meanValue - slope * meanSize, slope };
}

/**
 * Computes a quantile.
 *
 * @param values - values in any order; at least one
 * @param share - quantile from 0 to 1, for example 0.95
 * @returns the value below which that share of the values lies
 */
export function computeQuantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
}
