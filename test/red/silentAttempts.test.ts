import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { openChannel } from "../platform/standIn/channel.js";
import { operatorConfiguration, startDeployment, type TestDeployment } from "../platform/standIn/deployment.js";
import { type RunnerBehaviour, startRunnerStandIn } from "../platform/standIn/runnerStandIn.js";
import { startWorkRunner } from "../platform/standIn/workRunner.js";

/** Ways in which the other backend server does not give the answer either. */
const behaviours: readonly RunnerBehaviour[] = ["shed", "error", "reset", "foreign", "silent"];

function configureRoutes(deployment: TestDeployment, changes: Readonly<Record<string, unknown>>): void {
    const routes = operatorConfiguration.routes.map(route => ({ ...route, ...changes }));
    deployment.configure({ version: 2, routes });
}

describe("silent backend server", () => {
    // Guards against a request that is ended at each backend server in turn, and answered by none.
    it("answers a request whose work takes longer than the limit of silence", async () => {
        await using deployment = await startDeployment();
        await using stack = createDisposalStack();
        configureRoutes(deployment, { timeout_ms: 1_500, max_attempts: 3 });
        const runners = [];
        for (const id of ["i-1", "i-2", "i-3"]) {
            const runner = stack.use(await startWorkRunner(id));
            await deployment.addRunnerRecord(id, runner.address);
            runners.push(runner);
        }
        using channel = await openChannel(deployment.callers);
        for (const [attemptId, maximumRuns] of [["first", 2], ["second", 1], ["third", 1]] as const) {
            const { ending, status } = await channel!.call({ path: "/safe/?work=900", attemptId, deadline: 3_000 });
            const runs = runners.flatMap(({ work }) => work).filter(work => work.attemptId === attemptId);
            expect([ending, status, runs.length <= maximumRuns]).toEqual(["whole", 200, true]);
        }
    });

    for (const behaviour of behaviours) {
        // Guards against a stream that is cut since another backend server was to continue it.
        it(`completes its stream if the other one does not continue it: ${behaviour}`, async () => {
            await using deployment = await startDeployment();
            configureRoutes(deployment, { timeout_ms: 8_000 });
            await using paused = await startWorkRunner("i-1");
            await deployment.addRunnerRecord("i-1", paused.address);
            using channel = await openChannel(deployment.callers);
            const path = "/stream/?events=20&interval=5&silentAfter=10&silence=3000";
            const calling = channel!.call({ path, attemptId: "waits", deadline: 8_000 });
            await sleep(100);
            await using other = await startRunnerStandIn({ id: "i-2", events: 20 });
            other.setBehaviour(behaviour);
            await deployment.addRunnerRecord("i-2", other.address);
            const { ending, status } = await calling;
            expect([ending, status, paused.work.length, other.countArrivals()]).toEqual(["whole", 200, 1, 1]);
        });
    }
});
