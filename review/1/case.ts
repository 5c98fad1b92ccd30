import { hasTrouble, record, runCase, sleep } from "../lib/case.js";
import { startModelRunner } from "../lib/modelRunner.js";
import { startSilentMachine } from "../lib/silent.js";
import { callStream } from "../lib/streamCaller.js";
import { awaitSettled, type Gateway, startSystem } from "../lib/system.js";
import { createModelConfiguration, model, startOrigin } from "../lib/weights.js";
import { findFreePorts } from "../../src/standIn/http/freePorts.js";

const removedGateways = 8;
const keptGateways = 2;
const recoveryTime = 12_000;
const watchTime = 10_000;

/** Requests that were sent in a phase, and those that were served. */
interface Phase {
    sent: number;
    served: number;
}

await runCase("review/1/record.txt", async () => {
    const system = await startSystem();
    system.configure(createModelConfiguration(await startOrigin()));
    const [port] = await findFreePorts(1) as [number];
    const runners = [
        await startModelRunner("i-scribe-1", "127.0.0.31", port),
        await startModelRunner("i-scribe-2", "127.0.0.32", port),
    ];
    runners.forEach(runner => system.listServer(runner.id, () => ({ ...runner.entry(), address: runner.address })));
    system.store.write("keyed.op", `version/${model}`, { model, version: 1 });
    const startAgents = (): readonly ReturnType<typeof system.startAgent>[] =>
        runners.map(({ address }, index) =>
            system.startAgent(index + 1, `127.0.0.${31 + index}`, { app: address, service: "scribe" }));
    const removed = Array.from({ length: removedGateways }, (...[, index]) => system.startGateway(index + 1));
    const numbers = Array.from({ length: keptGateways }, (...[, index]) => removedGateways + index + 1);
    let kept: readonly Gateway[] = numbers.map(number => system.startGateway(number));
    let agents = startAgents();
    await awaitSettled([...removed, ...kept]);

    const before: Phase = { sent: 0, served: 0 };
    const after: Phase = { sent: 0, served: 0 };
    let phase: Phase | undefined;
    let isPlaying = true;
    let number = 0;
    const callAgain = async (caller: number): Promise<void> => {
        while (isPlaying) {
            number++;
            const attemptId = `attempt-${number}`;
            const counted = phase;
            record(`${attemptId} is sent`);
            const { front } = kept[caller % keptGateways]!;
            const headers = [`model: ${model}`, "token-usage: 40,80", "prompt-prefix: 5c1e07a2:40,91bd3f06:10"];
            const answer = await callStream({ ...front, path: "/sketch/", attemptId, deadline: 6_000, headers });
            const isServed = answer.status === 200 && answer.complete;
            record(`answer to ${attemptId}: status ${answer.status}, complete ${answer.complete}`);
            if (counted !== undefined) {
                counted.sent++;
                counted.served += isServed ? 1 : 0;
            }
            await sleep(isServed ? 50 : 400);
        }
    };
    const calling = Promise.all(Array.from({ length: 4 }, (...[, index]) => callAgain(index)));

    if (hasTrouble) {
        const { control, front, internal, metrics, ready } = system.ports;
        for (const gateway of removed) {
            gateway.signal("SIGKILL");
            await gateway.ended;
            await startSilentMachine(gateway.ip, [control, front, internal, metrics, ready]);
            record(`${gateway.name} is removed for good`);
            await sleep(500);
        }
    }
    await sleep(5_000);
    phase = before;
    await sleep(watchTime);
    phase = undefined;

    record("all machines lose power");
    const all = [...kept, ...agents, ...(hasTrouble ? [] : removed)];
    all.forEach(program => program.signal("SIGKILL"));
    await Promise.all(all.map(({ ended }) => ended));
    runners.forEach(runner => runner.losePower());
    await sleep(1_000);
    kept = numbers.map(number => system.startGateway(number));
    agents = startAgents();
    if (!hasTrouble) {
        removed.forEach((...[, index]) => system.startGateway(index + 1));
    }
    record("the machines are back");
    await sleep(recoveryTime);
    phase = after;
    await sleep(watchTime);
    phase = undefined;
    isPlaying = false;
    await calling;
    record(`before the final fault ${before.served} of ${before.sent} requests were served`);
    record(`later than recovery_s after it ${after.served} of ${after.sent} requests were served`);
    if (before.served * 4 < before.sent || after.sent === 0) {
        return "not-run";
    }
    return after.served * 4 < after.sent ? "broken" : "held";
});
