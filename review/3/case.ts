import { hasTrouble, record, runCase, sleep, waitUntil } from "../lib/case.js";
import { startModelRunner } from "../lib/modelRunner.js";
import { callStream } from "../lib/streamCaller.js";
import { awaitSettled, startSystem } from "../lib/system.js";
import { createModelConfiguration, model, startOrigin } from "../lib/weights.js";
import { findFreePorts } from "../../src/standIn/http/freePorts.js";

const freezeTime = 4_000;
/** Pieces that turn bad: 3 of 64, less than a share of 0.06. */
const rottenPieces = [7, 23, 48];

await runCase("review/3/record.txt", async () => {
    const system = await startSystem();
    system.configure(createModelConfiguration(await startOrigin()));
    const [port] = await findFreePorts(1) as [number];
    const runners = await Promise.all(
        [1, 2, 3, 4].map(number => startModelRunner(`i-scribe-${number}`, `127.0.0.${30 + number}`, port)),
    );
    runners.forEach(runner => system.listServer(runner.id, () => ({ ...runner.entry(), address: runner.address })));
    system.store.write("keyed.op", `version/${model}`, { model, version: 1 });
    const gateway = system.startGateway(1);
    const agents = runners.map(({ address }, index) =>
        system.startAgent(index + 1, `127.0.0.${31 + index}`, { app: address, service: "scribe" }));
    await awaitSettled([gateway]);

    let isPlaying = true;
    let sent = 0;
    const callAgain = async (): Promise<void> => {
        while (isPlaying) {
            sent++;
            const attemptId = `attempt-${sent}`;
            const headers = [`model: ${model}`, "token-usage: 40,80", "prompt-prefix: 5c1e07a2:40,91bd3f06:10"];
            record(`${attemptId} is sent`);
            const { complete, status } = await callStream({
                ...gateway.front,
                path: "/sketch/",
                attemptId,
                deadline: 6_000,
                headers,
            });
            record(`answer to ${attemptId}: status ${status}, complete ${complete}`);
            await sleep(status === 200 ? 50 : 300);
        }
    };
    const calling = Promise.all(Array.from({ length: 16 }, callAgain));
    await sleep(2_000);
    record("version 2 is declared");
    const declaredAt = performance.now();
    system.store.write("keyed.op", `version/${model}`, { model, version: 2 });

    if (hasTrouble) {
        const findReadBack = (): number => runners.findIndex(runner => (runner.readBackAt() ?? 0) > declaredAt);
        await waitUntil("a runner's staged set was read back", () => findReadBack() >= 0);
        const index = findReadBack();
        await sleep(200);
        record(`${agents[index]!.name} freezes`);
        agents[index]!.signal("SIGSTOP");
        await sleep(300);
        runners[index]!.rot(rottenPieces);
        await sleep(freezeTime - 300);
        record(`${agents[index]!.name} wakes again`);
        agents[index]!.signal("SIGCONT");
    }
    await waitUntil("all runners hold version 2", () => runners.every(({ version }) => version() === 2), 30_000);
    await sleep(3_000);
    isPlaying = false;
    await calling;
    const wrong = runners.reduce((sum, { wrongTokens }) => sum + wrongTokens(), 0);
    record(`${wrong} tokens were made with layers whose pieces were bad for more than 3 s`);
    return wrong > 0 ? "broken" : "held";
});
