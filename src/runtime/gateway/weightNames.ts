/** Model and version of a weight set. */
export interface WeightName {
    readonly model: string;
    readonly version: number;
}

const separator = "@";

/**
 * Creates the identifier of the weight set of a version, which routing and transfers compare.
 *
 * @param model - name of the model
 * @param version - version of the weights
 * @returns identifier of the weight set
 */
export function formatWeightName(model: string, version: number): string {
    return `${model}${separator}${version}`;
}

/**
 * Parses the identifier of a weight set.
 *
 * @param set - identifier created by {@link formatWeightName}
 * @returns model and version
 */
export function parseWeightName(set: string): WeightName {
    const end = set.lastIndexOf(separator);
    return { model: set.slice(0, end), version: Number(set.slice(end + 1)) };
}
