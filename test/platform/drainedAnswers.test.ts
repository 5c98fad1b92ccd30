import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { openChannel } from "./standIn/channel.js";
import { operatorConfiguration, startDeployment } from "./standIn/deployment.js";
import { drainTimeLimitSeconds } from "./standIn/gateway.js";
import { startWorkRunner } from "./standIn/workRunner.js";

/** Bytes beyond what the operating system holds for a connection. */
const answerBytes = 12 * 1_048_576;

describe("gateway that shuts down", () => {
    const paths = {
        "a whole answer": `/unsafe/?bytes=${answerBytes}`,
        "a stream": `/stream/?events=${answerBytes / 131_072}&eventBytes=131072&interval=0`,
    };
    for (const [answer, path] of Object.entries(paths)) {
        // Guards against a connection that is closed as idle while the answer still waits in the process.
        it(`sends the rest of ${answer} to a caller that reads slowly`, async () => {
            await using deployment = await startDeployment({ "gateway.acceptAfterShutdownMilliseconds": "100" });
            const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 20_000 }));
            deployment.configure({ version: 2, routes });
            await using runner = await startWorkRunner("i-1");
            await deployment.addRunnerRecord("i-1", runner.address);
            using channel = await openChannel(deployment.callers);
            const calling = channel!.call({
                path,
                attemptId: "slow",
                deadline: 20_000,
                bytesPerSecond: answerBytes / (0.6 * drainTimeLimitSeconds),
            });
            await sleep(400);
            await deployment.stop();
            const { bodyBytes, ending, status } = await calling;
            expect([ending, status, bodyBytes >= answerBytes]).toEqual(["whole", 200, true]);
            expect(deployment.logLines.filter(line => line.includes("answer cut off"))).toEqual([]);
        });
    }
});
