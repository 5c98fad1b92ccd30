import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment } from "./standIn/deployment.js";
import { startWorkRunner } from "./standIn/workRunner.js";

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
            deployment.configure({ version: 2, services: [{ ...service, max_connections: initial }] });
            const runner = deployment.stack.use(await startWorkRunner("i-1"));
            await deployment.addRunnerRecord("i-1", runner.address);
            const callWorking = (work: number) => call(deployment, `/unsafe/?work=${work}`);
            expect((await callWorking(1)).status).toEqual(200);
            deployment.configure({ version: 3, services });
            await sleep(600);
            const calls = Array.from({ length: 4 }, () => callWorking(400));
            await sleep(300);
            expect(runner.work.length).toEqual(1 + atOnce);
            expect((await Promise.all(calls)).map(({ status }) => status)).toEqual([200, 200, 200, 200]);
        });
    }
});
