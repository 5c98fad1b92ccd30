import { type Answer, call } from "./caller.js";
import { type CrashingFleet, type CrashingFleetOptions, startCrashingFleet } from "./crashingFleet.js";
import { type TestDeployment, waitUntil } from "./deployment.js";
import type { TestGateway } from "./gateway.js";

/** Time in which all gateways have to know what one of them has seen. */
export const settleMilliseconds = 3_000;
/** Times that a request may be sent on once they know that three backend servers ended under it. */
export const allowedRepeats = 3;

export const fatalBody = "fatal";
export const popularBody = "popular";

export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

export function countLateRuns({ ends, runs }: CrashingFleet): number {
    const third = ends.filter(({ body }) => body === fatalBody)[2];
    return third === undefined ?
        0 :
        runs.filter(({ at, body }) => body === fatalBody && at > third.at + settleMilliseconds).length;
}

export function startFleet(
    deployment: TestDeployment,
    options: Partial<CrashingFleetOptions> = {},
): Promise<CrashingFleet> {
    return startCrashingFleet(deployment, {
        count: 8,
        isFatal: body => body === fatalBody,
        workMilliseconds: 30,
        downMilliseconds: 1_500,
        lapseMilliseconds: 3_600,
        ...options,
    });
}

/** Starts two more gateways, and waits until all of them know the backend servers. */
export async function addGateways(deployment: TestDeployment, path: string): Promise<readonly TestGateway[]> {
    const gateways = [
        deployment,
        await deployment.addGateway("gateway-2"),
        await deployment.addGateway("gateway-3"),
    ];
    for (const gateway of gateways) {
        await waitUntil("the list is read", async () => (await call(gateway, path)).status === 200);
    }
    return gateways;
}

/** Sends the fatal request several times, through the gateways in turn. */
export async function sendFatal(
    gateways: readonly TestGateway[],
    path: string,
    count: number,
    interval: number,
): Promise<readonly (Answer | undefined)[]> {
    const answers: (Answer | undefined)[] = [];
    for (let index = 0; index < count; index++) {
        const options = { method: "POST", body: fatalBody };
        answers.push(await call(gateways[index % gateways.length]!, path, options).catch(() => undefined));
        await pause(interval);
    }
    return answers;
}

/** Sends the fatal request until three backend servers have ended under it and all gateways have to know. */
export async function endThree(fleet: CrashingFleet, gateways: readonly TestGateway[], path: string): Promise<void> {
    await waitUntil("three backend servers have ended", async () => {
        await sendFatal(gateways, path, gateways.length, 100);
        return fleet.ends.length >= 3;
    });
    await pause(settleMilliseconds);
}

/** Sends sound requests one after the other until it is stopped; each second one has a body that no other has. */
export function startCaller(gateways: readonly TestGateway[], path: string, name: string): () => Promise<Answer[]> {
    const answers: Answer[] = [];
    let stopped = false;
    const finished = (async () => {
        for (let count = 0; !stopped; count++) {
            const body = count % 2 === 0 ? popularBody : `${name}-${count}`;
            const gateway = gateways[count % gateways.length]!;
            answers.push(await call(gateway, path, { method: "POST", body }));
            await pause(10);
        }
    })();
    return async () => {
        stopped = true;
        await finished;
        return answers;
    };
}

export function startCallers(gateways: readonly TestGateway[], path: string): () => Promise<Answer[]> {
    const stops = Array.from({ length: 12 }, (...[, index]) => startCaller(gateways, path, `caller-${index}`));
    return async () => (await Promise.all(stops.map(stop => stop()))).flat();
}

export function listCondemned(answers: readonly (Answer | undefined)[]): readonly (Answer | undefined)[] {
    return answers.filter(answer => answer?.body.includes("crashes-backend-servers"));
}
