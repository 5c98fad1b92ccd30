import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { openChannel } from "./standIn/channel.js";
import { operatorConfiguration, startDeployment } from "./standIn/deployment.js";
import { startWorkRunner } from "./standIn/workRunner.js";

/** Longer than the time without a byte after which the gateways of the tests retry a request. */
const silence = 1_000;
const paths = {
    "before the answer": `/safe/?work=${silence}`,
    "within a stream": `/stream/?events=20&interval=5&silentAfter=10&silence=${silence}`,
} as const;

describe("backend server that pauses", () => {
    for (const [when, path] of Object.entries(paths)) {
        for (const isStopped of [false, true]) {
            // Guards against an answer that is ended for silence although no other backend server can give it.
            it(`${when} completes it${isStopped ? " while the gateway shuts down" : ""}`, async () => {
                await using deployment = await startDeployment();
                const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 8_000 }));
                deployment.configure({ version: 2, routes });
                await using runner = await startWorkRunner("i-1");
                await deployment.addRunnerRecord("i-1", runner.address);
                using channel = await openChannel(deployment.callers);
                const calling = channel!.call({ path, attemptId: "waits", deadline: 8_000 });
                await sleep(100);
                if (isStopped) {
                    await deployment.stop();
                }
                const { ending, status } = await calling;
                expect([ending, status, runner.work.length]).toEqual(["whole", 200, 1]);
            });
        }
    }
});
