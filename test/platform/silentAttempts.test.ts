import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { openChannel } from "./standIn/channel.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import { type RunnerBehaviour, startRunnerStandIn } from "./standIn/runnerStandIn.js";
import { startWorkRunner, type Work, type WorkRunner } from "./standIn/workRunner.js";

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

    // Guards against a whole answer that is held back until its caller has left.
    it("leaves the error of the other one as the answer when the time is over", async () => {
        await using deployment = await startDeployment();
        configureRoutes(deployment, { timeout_ms: 8_000, max_attempts: 2 });
        await using stack = createDisposalStack();
        for (const [id, behaviour] of [["i-1", "silent"], ["i-2", "error"]] as const) {
            const runner = stack.use(await startRunnerStandIn({ id }));
            runner.setBehaviour(behaviour);
            await deployment.addRunnerRecord(id, runner.address);
        }
        using channel = await openChannel(deployment.callers);
        const { ending, status } = await channel!.call({ path: "/safe/", attemptId: "failed", deadline: 1_500 });
        expect([ending, status]).toEqual(["whole", 500]);
    });

    // Guards against a stream that contains an event twice, or misses one, since two backend servers wrote to it.
    it("completes its stream once if it continues at the same time as the other one", async () => {
        await using deployment = await startDeployment({
            "routing.failuresUntilEjected": "100",
            "gateway.fleetRetries": "1000",
        });
        const runners: WorkRunner[] = [];
        const listRuns = (): readonly Work[] => runners.flatMap(({ work }) => work);
        /** The silence ends that many milliseconds after the other one has begun to work. */
        const awaitOther = async ({ attemptId }: Work, delay: number): Promise<void> => {
            const countRuns = (): number => listRuns().filter(work => work.attemptId === attemptId).length;
            await waitUntil("the other one has begun", () => countRuns() === 2);
            await sleep(delay);
        };
        const delays = [80, 90, 100, 110];
        // Each delay has a route of its own, whose answers are not known to take long.
        const routes = delays.map(delay => ({
            ...operatorConfiguration.routes[2],
            name: `stream-${delay}`,
            path_prefix: `/${delay}/`,
            timeout_ms: 8_000,
            target_latency_ms: 8_000,
        }));
        deployment.configure({ version: 2, routes });
        for (const id of ["i-1", "i-2"]) {
            const runner = deployment.stack.use(await startWorkRunner(id, awaitOther));
            await deployment.addRunnerRecord(id, runner.address);
            runners.push(runner);
        }
        const whole = Array.from({ length: 20 }, (...[, index]) => `id: ${index + 1}\ndata: x\n\n`).join("");
        let requests = 0;
        // The other one works for 100 ms.
        for (const delay of delays) {
            const path = `/${delay}/?work=100&events=20&interval=3&silentAfter=5&silence=${delay}`;
            const responses = await Promise.all(
                Array.from({ length: 4 }, async () => call(deployment, path, { headers: { "deadline-ms": "8000" } })),
            );
            expect(responses.map(({ body }) => body)).toEqual(responses.map(() => whole));
            requests += responses.length;
        }
        expect(listRuns().length).toEqual(2 * requests);
        expect(listRuns().filter(({ isCanceled }) => isCanceled).length).toEqual(requests);
    });

    // Guards against work that continues for a caller who has left.
    it("and the attempts beside it end when their caller leaves", async () => {
        await using deployment = await startDeployment();
        configureRoutes(deployment, { timeout_ms: 8_000 });
        const runners = [await startWorkRunner("i-1"), await startWorkRunner("i-2")];
        await using stack = createDisposalStack();
        for (const [index, runner] of runners.entries()) {
            stack.use(runner);
            await deployment.addRunnerRecord(`i-${index + 1}`, runner.address);
        }
        const channel = await openChannel(deployment.callers);
        const calling = channel!.call({ path: "/safe/?work=3000", attemptId: "leaves", deadline: 5_000 });
        await sleep(700);
        channel![Symbol.dispose]();
        expect((await calling).ending).toEqual("cut");
        await sleep(200);
        expect(runners.flatMap(({ work }) => work).map(({ isCanceled }) => isCanceled)).toEqual([true, true]);
    });
});
