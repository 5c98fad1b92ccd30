import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../src/types/index.js";

/**
 * Returns the value of a successful result.
 *
 * @param result - the result
 * @returns its value; throws for a failure, so that the test fails
 */
export function expectOk<Value>(result: Result<Value, GoldcrestpointError>): Value {
    if (result.isErr) {
        throw new Error(`${result.error.code} at ${result.error.step}: ${result.error.message}`);
    }
    return result.value;
}
