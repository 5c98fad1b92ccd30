import { call, type GatewayResponse } from "./caller.js";
import { type CrashingFleet, type CrashingFleetOptions, startCrashingFleet } from "./crashingFleet.js";
import { type TestDeployment, waitUntil } from "./deployment.js";
import type { TestGateway } from "./gateway.js";

/** Time in milliseconds within which all gateways have to know of crashes that one of them has seen. */
export const settleMilliseconds = 3_000;
/** How often a request may still be forwarded once the gateways know that it has crashed three backend servers. */
export const allowedRepeats = 3;

/** Body of requests that crash the backend server. */
export const fatalBody = "fatal";
/** Body that many harmless requests have in common. */
export const popularBody = "popular";

/** Waits for a time. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Counts the executions of the fatal request after all gateways have to know of its third crash. */
export function countLateRuns({ crashes, runs }: CrashingFleet): number {
    const thirdCrash = crashes.filter(({ body }) => body === fatalBody)[2];
    return thirdCrash === undefined ?
        0 :
        runs.filter(({ at, body }) => body === fatalBody && at > thirdCrash.at + settleMilliseconds).length;
}

/** Starts eight runners that crash on the fatal request. */
export function startFleet(
    deployment: TestDeployment,
    options: Partial<CrashingFleetOptions> = {},
): Promise<CrashingFleet> {
    return startCrashingFleet(deployment, {
        count: 8,
        isFatal: body => body === fatalBody,
        workMilliseconds: 30,
        downMilliseconds: 1_500,
        recordRemovalMilliseconds: 3_600,
        ...options,
    });
}

/** Starts two more gateways, and waits until all three forward requests to the backend servers. */
export async function addGateways(deployment: TestDeployment, path: string): Promise<readonly TestGateway[]> {
    const gateways = [
        deployment,
        await deployment.addGateway("gateway-2"),
        await deployment.addGateway("gateway-3"),
    ];
    for (const gateway of gateways) {
        await waitUntil(
            "the gateway knows the backend servers",
            async () => (await call(gateway, path)).status === 200,
        );
    }
    return gateways;
}

/** Sends the fatal request several times, to the gateways in turn. */
export async function sendFatal(
    gateways: readonly TestGateway[],
    path: string,
    count: number,
    interval: number,
): Promise<readonly (GatewayResponse | undefined)[]> {
    const responses: (GatewayResponse | undefined)[] = [];
    for (let index = 0; index < count; index++) {
        const options = { method: "POST", body: fatalBody };
        responses.push(await call(gateways[index % gateways.length]!, path, options).catch(() => undefined));
        await pause(interval);
    }
    return responses;
}

/** Sends the fatal request until three backend servers have crashed and all gateways have to know of it. */
export async function crashThreeServers(
    fleet: CrashingFleet,
    gateways: readonly TestGateway[],
    path: string,
): Promise<void> {
    await waitUntil("three backend servers have crashed", async () => {
        await sendFatal(gateways, path, gateways.length, 100);
        return fleet.crashes.length >= 3;
    });
    await pause(settleMilliseconds);
}

/**
 * Sends harmless requests one after the other until the returned function is called. Every second request has a body
 * that no other request has.
 */
export function startCaller(
    gateways: readonly TestGateway[],
    path: string,
    name: string,
): () => Promise<GatewayResponse[]> {
    const responses: GatewayResponse[] = [];
    let stopped = false;
    const finished = (async () => {
        for (let count = 0; !stopped; count++) {
            const body = count % 2 === 0 ? popularBody : `${name}-${count}`;
            const gateway = gateways[count % gateways.length]!;
            responses.push(await call(gateway, path, { method: "POST", body }));
            await pause(10);
        }
    })();
    return async () => {
        stopped = true;
        await finished;
        return responses;
    };
}

/** Starts twelve callers; the returned function stops them and returns all responses. */
export function startCallers(gateways: readonly TestGateway[], path: string): () => Promise<GatewayResponse[]> {
    const stops = Array.from({ length: 12 }, (...[, index]) => startCaller(gateways, path, `caller-${index}`));
    return async () => (await Promise.all(stops.map(stop => stop()))).flat();
}

/** Lists the responses that refuse a request because it crashes backend servers. */
export function listCondemned(
    responses: readonly (GatewayResponse | undefined)[],
): readonly (GatewayResponse | undefined)[] {
    return responses.filter(response => response?.body.includes("crashes-backend-servers"));
}
