import { sleep } from "../../../src/utils/index.js";
import { type Answer, call } from "./caller.js";
import type { TestDeployment } from "./deployment.js";

/** Requests that are sent one after the other, whether or not the earlier ones are answered. */
export interface PacedCalls {
    readonly path: string;
    /** Requests a second. */
    readonly rate: number;
    /** Time for which requests are sent, in milliseconds. */
    readonly duration: number;
}

/**
 * Sends requests at a steady rate.
 *
 * @param deployment - the gateway
 * @param calls - path, rate and duration
 * @returns all answers
 */
export async function callAtRate(
    deployment: Pick<TestDeployment, "gatewayUrl">,
    { duration, path, rate }: PacedCalls,
): Promise<readonly Answer[]> {
    const answers: Promise<Answer>[] = [];
    for (let sent = 0; sent < rate * duration / 1_000; sent++) {
        answers.push(call(deployment, path));
        await sleep(1_000 / rate);
    }
    return Promise.all(answers);
}
