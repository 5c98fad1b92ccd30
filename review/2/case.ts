import { hasTrouble, record, runCase, sleep } from "../lib/case.js";
import { answerHeaders, startRunner } from "../lib/runner.js";
import { startSilentMachine } from "../lib/silent.js";
import { callStream } from "../lib/streamCaller.js";
import { awaitSettled, startSystem } from "../lib/system.js";

const removedGateways = 7;
const keptGateways = 2;
const drainTime = 2_000;
const exitAfter = 5_000;
const workTime = 300;
const drains = 2;

await runCase("review/2/record.txt", async () => {
    const system = await startSystem();
    const sentAt = new Map<string, number>();
    const start = (id: string, onArrival: (attemptId: string) => void): ReturnType<typeof startRunner> =>
        startRunner(id, async ({ attemptId }, response) => {
            onArrival(attemptId);
            await sleep(workTime);
            response.writeHead(200, { ...answerHeaders(attemptId), "content-type": "text/plain" });
            response.end(`${id} has stored ${attemptId}`);
        });
    const staying = [
        await start("i-archive-1", () => {}),
        await start("i-archive-2", () => {}),
        await start("i-archive-3", () => {}),
    ];
    staying.forEach((runner, index) => system.listServer(`i-archive-${index + 1}`, { address: runner.address }));
    const removed = Array.from({ length: removedGateways }, (...[, index]) => system.startGateway(index + 1));
    const kept = Array.from({ length: keptGateways }, (...[, index]) => system.startGateway(removedGateways + index + 1));
    await awaitSettled([...removed, ...kept]);
    if (hasTrouble) {
        const { control, front, internal, metrics, ready } = system.ports;
        for (const gateway of removed) {
            gateway.signal("SIGKILL");
            await gateway.ended;
            await startSilentMachine(gateway.ip, [control, front, internal, metrics, ready]);
            record(`${gateway.name} is removed for good`);
            await sleep(200);
        }
    }
    await sleep(5_000);

    let isPlaying = true;
    let lost = 0;
    const callAgain = async (caller: number): Promise<void> => {
        for (let number = 1; isPlaying; number++) {
            const attemptId = `attempt-${caller}-${number}`;
            sentAt.set(attemptId, performance.now());
            const { front } = kept[caller % keptGateways]!;
            const { status } = await callStream({ ...front, path: "/unsafe/", attemptId, deadline: 4_000 });
            record(`answer to ${attemptId}: status ${status}`);
            lost += status === 200 || status === 503 ? 0 : 1;
            await sleep(50);
        }
    };
    const calling = Promise.all(Array.from({ length: 10 }, (...[, index]) => callAgain(index)));

    let late = 0;
    for (let drain = 1; drain <= drains; drain++) {
        const id = `i-archive-${drain + 3}`;
        let drainsAt = Infinity;
        const leaving = await start(id, attemptId => {
            if (sentAt.get(attemptId)! > drainsAt + drainTime) {
                late++;
                record(`${attemptId} was sent and reached ${id} later than drain_ms after the confirmation`);
            }
        });
        const stopBeats = system.listServer(id, { address: leaving.address });
        await sleep(4_500);
        stopBeats();
        system.store.drop("keyed.servers", id);
        drainsAt = performance.now();
        record(`${id} leaves, and its entry is removed`);
        await sleep(exitAfter);
        leaving.end();
        record(`${id} exits`);
    }
    await sleep(1_000);
    isPlaying = false;
    await calling;
    record(`${late} requests were sent and reached a runner later than drain_ms after the confirmation`);
    record(`${lost} requests were answered neither with success nor with a promise`);
    return late > 0 ? "broken" : "held";
});
