import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../src/types/index.js";

/**
 * Reads the value of a result that has to be a success.
 *
 * @param result - the result
 * @returns its value; a failure fails the test
 */
export function expectOk<Value>(result: Result<Value, GoldcrestpointError>): Value {
    if (result.isErr) {
        throw new Error(`${result.error.code} at ${result.error.step}: ${result.error.message}`);
    }
    return result.value;
}
