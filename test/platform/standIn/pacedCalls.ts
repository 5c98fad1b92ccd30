import { sleep } from "../../../src/utils/index.js";
import { call, type GatewayResponse } from "./caller.js";
import type { TestDeployment } from "./deployment.js";

/** Requests that are sent at a fixed rate, without waiting for the responses to earlier ones. */
export interface PacedCalls {
    readonly path: string;
    /** Requests per second. */
    readonly rate: number;
    /** Time during which requests are sent, in milliseconds. */
    readonly duration: number;
}

/**
 * Sends requests to the gateway at a fixed rate.
 *
 * @param deployment - deployment of the gateway
 * @param calls - path, rate and duration
 * @returns all responses, in the order of the requests
 */
export async function callAtRate(
    deployment: Pick<TestDeployment, "gatewayUrl">,
    { duration, path, rate }: PacedCalls,
): Promise<readonly GatewayResponse[]> {
    const responses: Promise<GatewayResponse>[] = [];
    for (let sent = 0; sent < rate * duration / 1_000; sent++) {
        responses.push(call(deployment, path));
        await sleep(1_000 / rate);
    }
    return Promise.all(responses);
}
