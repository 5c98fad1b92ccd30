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

describe("queue of a gateway that shuts down", () => {
    // Guards against queued requests that start, or are cut off, when the time for the drain is over.
    it("is refused as not run when no further connections are accepted", async () => {
        await using deployment = await startDeployment();
        const routes = operatorConfiguration.routes.map(route => ({
            ...route,
            timeout_ms: 30_000,
            target_latency_ms: 30_000,
        }));
        deployment.configure({ version: 2, routes });
        await using runner = await startWorkRunner("i-1");
        await deployment.addRunnerRecord("i-1", runner.address, { slots: 1 });
        const calls = ["first", "second", "third"].map(async attemptId => {
            using channel = await openChannel(deployment.callers);
            return await channel!.call({ path: "/unsafe/?work=1500", attemptId, deadline: 30_000 });
        });
        await sleep(200);
        await deployment.stop();
        const answers = await Promise.all(calls);
        expect(answers.map(({ status }) => status).sort()).toEqual([200, 503, 503]);
        expect(answers.filter(({ head }) => head.toLowerCase().includes("retry-after: 0")).length).toEqual(2);
        expect(runner.work.length).toEqual(1);
    });
});
