import { startDeployment, type TestDeployment } from "./deployment.js";
import type { TestGateway } from "./gateway.js";
import type { RunnerStandIn } from "./runnerStandIn.js";

/** Gateways and backend servers of the plain service. */
export interface LimitedDeployment extends AsyncDisposable {
    readonly deployment: TestDeployment;
    readonly gateways: readonly TestGateway[];
    readonly servers: readonly RunnerStandIn[];
}

/** Options of {@link startLimitedDeployment}. */
export interface LimitedDeploymentOptions {
    readonly gateways: number;
    readonly servers: number;
    /** Path of the requests, which decides whether the backend servers respond with streams. */
    readonly path: string;
}

/**
 * Starts gateways and backend servers.
 *
 * @param options - numbers, and the kind of the requests
 * @returns the deployment, without rate limits
 */
export async function startLimitedDeployment(options: LimitedDeploymentOptions): Promise<LimitedDeployment> {
    const deployment = await startDeployment({ "admission.maximumRetryAfterSeconds": "2" });
    const gateways: TestGateway[] = [deployment];
    const servers: RunnerStandIn[] = [];
    const events = options.path === "/stream/" ? { events: 3 } : {};
    for (let index = 1; index <= options.servers; index++) {
        servers.push(await deployment.addRunner({ id: `i-${index}`, ...events }));
    }
    for (let index = 2; index <= options.gateways; index++) {
        gateways.push(await deployment.addGateway(`gateway-${index}`));
    }
    return { deployment, gateways, servers, [Symbol.asyncDispose]: () => deployment[Symbol.asyncDispose]() };
}

/**
 * Counts the events in the window that has most of them.
 *
 * @param times - times of the events in ascending order, in milliseconds
 * @param length - length of the window in milliseconds
 * @returns the number of events
 */
export function countInBusiestWindow(times: readonly number[], length: number): number {
    let first = 0;
    let most = 0;
    times.forEach((time, index) => {
        while (times[first]! <= time - length) {
            first++;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}
