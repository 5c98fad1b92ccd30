import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import { startWorkRunner, type Work } from "./standIn/workRunner.js";

/** Routes on which a request may wait for a place until its time is over. */
const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 8_000, target_latency_ms: 8_000 }));

function waitUntilInForce({ logLines }: TestDeployment, version: number): Promise<void> {
    const isInForce = (line: string): boolean =>
        line.includes("\"configuration in force\"") && line.includes(`"revision":${version},`);
    return waitUntil(`version ${version} is in force`, () => logLines.some(isInForce));
}

/** Counts the requests that were worked on at the same time, at most. */
function countAtOnce(work: readonly Work[]): number {
    const counts = work.map(({ startedAt }) =>
        work.filter(other => other.startedAt <= startedAt && startedAt < (other.readyAt ?? Infinity)).length
    );
    return Math.max(...counts);
}

describe("requests at a backend server whose maximum number of connections has changed", () => {
    const service = operatorConfiguration.services[0]!;
    const cases = [
        { change: "raised", services: [{ ...service, max_connections: 50 }], atOnce: 4 },
        { change: "lowered", services: [{ ...service, max_connections: 3 }], atOnce: 2 },
    ];
    for (const { atOnce, change, services } of cases) {
        // Guards against the limit of the first request, which makes others wait for a connection or opens too many.
        it(`run on as many connections as it accepts now: ${change}`, async () => {
            await using deployment = await startDeployment();
            const initial = change === "raised" ? 1 : 50;
            deployment.configure({ version: 2, routes, services: [{ ...service, max_connections: initial }] });
            const runner = deployment.stack.use(await startWorkRunner("i-1"));
            await deployment.addRunnerRecord("i-1", runner.address);
            const callWorking = (work: number) => call(deployment, `/unsafe/?work=${work}`);
            expect((await callWorking(1)).status).toEqual(200);
            deployment.configure({ version: 3, routes, services });
            await waitUntilInForce(deployment, 3);
            const answers = await Promise.all(Array.from({ length: 4 }, () => callWorking(400)));
            expect(countAtOnce(runner.work)).toEqual(atOnce);
            expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
        });
    }
});

describe("backend servers that accept a single connection", () => {
    // Guards against a request that waits for a connection in use until its time is over, while another one is idle.
    it("get requests only while their connection is free", async () => {
        await using deployment = await startDeployment();
        const services = [{ ...operatorConfiguration.services[0], max_connections: 1 }];
        deployment.configure({ version: 2, routes, services });
        for (const id of ["i-1", "i-2"]) {
            const runner = deployment.stack.use(await startWorkRunner(id));
            await deployment.addRunnerRecord(id, runner.address);
        }
        const stream = call(deployment, "/stream/?events=20&interval=200", { headers: { "deadline-ms": "8000" } });
        await sleep(100);
        for (let round = 0; round < 3; round++) {
            const calls = [1, 2].map(() => call(deployment, "/unsafe/?work=200"));
            expect((await Promise.all(calls)).map(({ status }) => status)).toEqual([200, 200]);
        }
        expect((await stream).complete).toEqual(true);
    });
});
