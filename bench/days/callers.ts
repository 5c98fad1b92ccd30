import type { Milliseconds, RandomSource } from "../../src/types/index.js";
import { drawRequest, type RequestClass } from "./parameters.js";
import type { Scenario } from "./scenarios.js";
import type { Caller } from "./summary.js";

/**
 * Creates the caller of a request.
 *
 * @param id - number of the caller
 * @param scenario - draws the size of the request, unless it is exponentially distributed
 * @param classes - classes of the load
 * @param random - source of the account, the class and the size
 * @param now - time of the request
 * @returns the caller, which has not tried yet
 */
export function createCaller(
    id: number,
    scenario: Scenario,
    classes: readonly RequestClass[],
    random: RandomSource,
    now: Milliseconds,
): Caller {
    return {
        id,
        ...drawRequest(classes, random),
        ...scenario.sampleRequest?.(random),
        begunAt: now,
        tries: 0,
        refusals: 0,
        refusedLate: false,
        metTarget: false,
        answered: false,
    };
}
