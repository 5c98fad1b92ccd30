import { join } from "node:path";
import { createAttemptId } from "../lib-3/caller.js";
import { sendStream, startModelInstallation } from "../lib-3/installation.js";
import { bounds } from "../lib-3/machines.js";
import { hasTrouble, pause, runCase } from "../lib-3/record.js";

/** Identifier of the part that crashes runners. */
const fatalPart = "bad0c0de";
/** Shared parts before it: the common one, and those of an earlier conversation. */
const sharedParts = Number(process.env["SHARED_PARTS"] ?? "17");
const crashesUntilKnown = 5;
const allowedArrivals = 3;
const calmMilliseconds = 8_000;
const troubleMilliseconds = 32_000;
const soundInterval = 60;
const fatalInterval = Number(process.env["FATAL_INTERVAL"] ?? "250");

interface SoundRequest {
    readonly attemptId: string;
    readonly at: number;
}

const shared = Array.from({ length: sharedParts }, (...[, index]) => `5c1e07${(0x10 + index).toString(16)}:40`);

function createPrompt(attemptId: string, parts: readonly string[]): string {
    return [...parts, `${attemptId}:250`].join(",");
}

await runCase(join("review", "11", "record.txt"), async record => {
    const begun = new Set<string>();
    const fatalArrivals: number[] = [];
    const crashes: number[] = [];
    const lost: string[] = [];
    await using installation = await startModelInstallation(record, {
        fronts: 2,
        runners: 6,
        runner: {
            firstMilliseconds: 60,
            events: 10,
            eventMilliseconds: 20,
            downMilliseconds: 2_000,
            onArrival: ({ attemptId, headers, runner }) => {
                if (String(headers["prompt-prefix"]).includes(fatalPart)) {
                    fatalArrivals.push(record.seconds());
                    record.write(`request ${attemptId} with the part ${fatalPart} reaches ${runner}`);
                }
            },
            onBegin: ({ attemptId, headers }) => {
                begun.add(attemptId);
                return hasTrouble && String(headers["prompt-prefix"]).includes(fatalPart);
            },
            onCrash: runner => {
                crashes.push(record.seconds());
                record.write(`${runner} crashes (crash ${crashes.length})`);
            },
        },
    });
    const { fronts, machines: { ports } } = installation;
    const sound: SoundRequest[] = [];
    const pending: Promise<void>[] = [];
    let count = 0;

    async function sendSound(): Promise<void> {
        const attemptId = createAttemptId();
        const at = record.seconds();
        sound.push({ attemptId, at });
        const { ip } = fronts[count % fronts.length]!;
        const headers = { "attempt-id": attemptId, "prompt-prefix": createPrompt(attemptId, shared) };
        const answer = await sendStream({ ip, port: ports.front }, headers, `page ${attemptId}`);
        record.write(
            `sound ${attemptId} sent at ${at.toFixed(3)}: ${answer.status ?? "closed"}${
                answer.complete ? "" : ", incomplete"
            }`,
        );
        if (begun.has(attemptId) && (answer.status !== 200 || !answer.complete)) {
            lost.push(attemptId);
        }
    }

    async function sendFatal(): Promise<void> {
        const attemptId = createAttemptId();
        const { ip } = fronts[count % fronts.length]!;
        const prompt = createPrompt(attemptId, [...shared, `${fatalPart}:40`]);
        const headers = { "attempt-id": attemptId, "prompt-prefix": prompt };
        const answer = await sendStream({ ip, port: ports.front }, headers, `other page ${attemptId}`);
        record.write(`with the part ${attemptId}: ${answer.status ?? "closed"} ${answer.body.slice(0, 80)}`);
    }

    const startedAt = performance.now();
    let nextFatal = startedAt + calmMilliseconds;
    while (performance.now() < startedAt + calmMilliseconds + troubleMilliseconds) {
        count++;
        pending.push(sendSound());
        if (performance.now() >= nextFatal) {
            nextFatal += fatalInterval;
            pending.push(sendFatal());
        }
        await pause(soundInterval);
    }
    await Promise.all(pending);

    const calmEnd = sound[0]!.at + calmMilliseconds / 1_000;
    const known = crashes[crashesUntilKnown - 1];
    const late = known === undefined ? 0 : fatalArrivals.filter(at => at > known + bounds.settle_window_ms / 1_000).length;
    const lastCrash = known ?? crashes.at(-1) ?? Infinity;
    const calm = sound.filter(({ at }) => at < calmEnd - 1);
    const after = sound.filter(({ at }) => at > lastCrash + 2 * bounds.settle_window_ms / 1_000);
    const readShare = (requests: readonly SoundRequest[]): number =>
        requests.filter(({ attemptId }) => begun.has(attemptId)).length / Math.max(1, requests.length);
    record.write(`crashes: ${crashes.length}; fifth at ${known?.toFixed(3) ?? "none"}`);
    record.write(`requests with the part that reached runners: ${fatalArrivals.length}, too late: ${late}`);
    record.write(`sound requests before: ${calm.length}, begun ${readShare(calm).toFixed(3)}`);
    record.write(`sound requests after: ${after.length}, begun ${readShare(after).toFixed(3)}`);
    record.write(`sound requests that had begun and were not answered completely: ${lost.length}`);
    const breaches: string[] = [];
    if (late > allowedArrivals) {
        breaches.push(`BUDGET: ${late} requests with the part reached runners later than settle_window_ms after the fifth crash`);
    }
    if (after.length >= 20 && calm.length >= 20 && readShare(after) < readShare(calm) / 2) {
        breaches.push(`LOST: sound requests begin ${readShare(after).toFixed(3)} of the time, before ${readShare(calm).toFixed(3)}`);
    }
    return breaches;
});
