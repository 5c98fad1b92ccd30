/** Model and version that the identifier of a weight set stands for. */
export interface WeightName {
    readonly model: string;
    readonly version: number;
}

const separator = "@";

/**
 * Names the weights of a version, as routing and transfers compare them.
 *
 * @param model - name of the model
 * @param version - its version
 * @returns identifier of the set
 */
export function nameWeights(model: string, version: number): string {
    return `${model}${separator}${version}`;
}

/**
 * Splits the identifier of a weight set.
 *
 * @param set - identifier as {@link nameWeights} makes it
 * @returns model and version
 */
export function splitWeights(set: string): WeightName {
    const end = set.lastIndexOf(separator);
    return { model: set.slice(0, end), version: Number(set.slice(end + 1)) };
}
