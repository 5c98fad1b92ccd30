import { expect } from "earl";
import { describe, it } from "node:test";
import { type Answer, call } from "../platform/standIn/caller.js";
import { type CrashingFleet, startCrashingFleet } from "../platform/standIn/crashingFleet.js";
import { startDeployment, waitUntil } from "../platform/standIn/deployment.js";
import type { TestGateway } from "../platform/standIn/gateway.js";

/** Time in which all gateways have to know what one of them has seen. */
const settleMilliseconds = 3_000;
/** Times that a request may be sent on once they know that three backend servers ended under it. */
const allowedRepeats = 3;

const fatalBody = "fatal";
const popularBody = "popular";

function countLateRuns({ ends, runs }: CrashingFleet): number {
    const third = ends.filter(({ body }) => body === fatalBody)[2];
    return third === undefined ?
        0 :
        runs.filter(({ at, body }) => body === fatalBody && at > third.at + settleMilliseconds).length;
}

/** Sends sound requests one after the other until it is stopped; each second one has a body that no other has. */
function startCaller(gateways: readonly TestGateway[], path: string, name: string): () => Promise<Answer[]> {
    const answers: Answer[] = [];
    let stopped = false;
    const finished = (async () => {
        for (let count = 0; !stopped; count++) {
            const body = count % 2 === 0 ? popularBody : `${name}-${count}`;
            const gateway = gateways[count % gateways.length]!;
            answers.push(await call(gateway, path, { method: "POST", body }));
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    })();
    return async () => {
        stopped = true;
        await finished;
        return answers;
    };
}

describe("gateways before a request that ends its backend servers", () => {
    const routes: readonly { readonly path: string; readonly answers: { readonly events?: number; }; }[] = [
        { path: "/unsafe/", answers: {} },
        { path: "/stream/", answers: { events: 5 } },
        { path: "/safe/", answers: {} },
    ];
    for (const { answers, path } of routes) {
        // Guards against a request that ends one backend server after the other, whichever gateway it comes to.
        it(`stop sending it on: ${path}`, async () => {
            await using deployment = await startDeployment();
            const fleet = await startCrashingFleet(deployment, {
                ...answers,
                count: 8,
                eventMilliseconds: 10,
                isFatal: body => body === fatalBody,
                workMilliseconds: 30,
                downMilliseconds: 1_500,
                lapseMilliseconds: 3_600,
            });
            const gateways: TestGateway[] = [
                deployment,
                await deployment.addGateway("gateway-2"),
                await deployment.addGateway("gateway-3"),
            ];
            await waitUntil("the list is read", async () => (await call(gateways[2]!, path)).status === 200);
            const callers = Array.from(
                { length: 12 },
                (...[, index]) => startCaller(gateways, path, `caller-${index}`),
            );
            for (let count = 0; count < 32; count++) {
                const options = { method: "POST", body: fatalBody };
                await call(gateways[count % 3]!, path, options).catch(() => undefined);
                await new Promise(resolve => setTimeout(resolve, 250));
            }
            const sound = (await Promise.all(callers.map(stop => stop()))).flat();
            expect(countLateRuns(fleet)).toBeLessThanOrEqual(allowedRepeats);
            expect(sound.filter(({ body }) => body.includes("crashes-backend-servers"))).toEqual([]);
        });
    }
});
