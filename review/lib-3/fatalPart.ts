import { createAttemptId } from "./caller.js";
import { sendStream, startModelInstallation } from "./installation.js";
import { bounds } from "./machines.js";
import { type CaseRecord, hasTrouble, pause } from "./record.js";

/** Options of {@link playFatalPart}. */
export interface FatalPartOptions {
    /** Number of parts that sound requests share, and that come before the part that crashes runners. */
    readonly sharedParts: number;
    /** Whether a runner crashes before it has written anything of the answer, or right after its first event. */
    readonly crashes: "before-first-event" | "after-first-event";
    /** Time between two requests with the part in milliseconds. */
    readonly fatalInterval: number;
}

/** Identifier of the part that crashes runners. */
const fatalPart = "bad0c0de";
const crashesUntilKnown = 5;
const allowedArrivals = 3;
const calmMilliseconds = 8_000;
const troubleMilliseconds = 32_000;
const soundInterval = 60;
const minimumRequests = 20;

interface SoundRequest {
    readonly attemptId: string;
    readonly at: number;
}

function createPrompt(attemptId: string, parts: readonly string[]): string {
    return [...parts, `${attemptId}:250`].join(",");
}

/**
 * Plays requests with a part that crashes runners beside sound requests, which share their caller and their other parts.
 *
 * @returns a description of each breach of BUDGET and LOST
 */
export async function playFatalPart(record: CaseRecord, options: FatalPartOptions): Promise<readonly string[]> {
    const begun = new Set<string>();
    const fatalArrivals: number[] = [];
    const crashes: number[] = [];
    const lost: string[] = [];
    const shared = Array.from(
        { length: options.sharedParts },
        (...[, index]) => `5c1e07${(0x10 + index).toString(16)}:40`,
    );
    const isFatal = (headers: Readonly<Record<string, unknown>>): boolean =>
        String(headers["prompt-prefix"]).includes(fatalPart);
    await using installation = await startModelInstallation(record, {
        fronts: 2,
        runners: 6,
        runner: {
            firstMilliseconds: 60,
            events: 10,
            eventMilliseconds: 20,
            downMilliseconds: 4_000,
            onArrival: ({ attemptId, headers, runner }) => {
                if (isFatal(headers)) {
                    fatalArrivals.push(record.seconds());
                    record.write(`request ${attemptId} with the part ${fatalPart} reaches ${runner}`);
                }
            },
            onBegin: ({ attemptId, headers }) => {
                begun.add(attemptId);
                return hasTrouble && options.crashes === "before-first-event" && isFatal(headers);
            },
            onEvent: ({ headers }) => hasTrouble && options.crashes === "after-first-event" && isFatal(headers),
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
        const ending = answer.complete ? "" : ", incomplete";
        record.write(`sound ${attemptId} sent at ${at.toFixed(3)}: ${answer.status ?? "closed"}${ending}`);
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
        const body = answer.body.replace(/\s+/g, " ").slice(0, 80);
        record.write(`with the part ${attemptId}: ${answer.status ?? "closed"} ${body}`);
    }

    const startedAt = performance.now();
    let nextFatal = startedAt + calmMilliseconds;
    while (performance.now() < startedAt + calmMilliseconds + troubleMilliseconds) {
        count++;
        pending.push(sendSound());
        if (performance.now() >= nextFatal) {
            nextFatal += options.fatalInterval;
            pending.push(sendFatal());
        }
        await pause(soundInterval);
    }
    await Promise.all(pending);

    const settleSeconds = bounds.settle_window_ms / 1_000;
    const calmEnd = sound[0]!.at + calmMilliseconds / 1_000;
    const known = crashes[crashesUntilKnown - 1];
    const late = fatalArrivals.filter(at => at > (known ?? Infinity) + settleSeconds).length;
    const lastCrash = known ?? crashes.at(-1) ?? Infinity;
    const calm = sound.filter(({ at }) => at < calmEnd - 1);
    const after = sound.filter(({ at }) => at > lastCrash + 2 * settleSeconds);
    const readShare = (requests: readonly SoundRequest[]): number =>
        requests.filter(({ attemptId }) => begun.has(attemptId)).length / Math.max(1, requests.length);
    record.write(`crashes: ${crashes.length}; fifth at ${known?.toFixed(3) ?? "none"}`);
    record.write(`requests with the part that reached runners: ${fatalArrivals.length}, too late: ${late}`);
    record.write(`sound requests before: ${calm.length}, begun ${readShare(calm).toFixed(3)}`);
    record.write(`sound requests after: ${after.length}, begun ${readShare(after).toFixed(3)}`);
    record.write(`sound requests that had begun and were not answered completely: ${lost.length}`);
    const breaches: string[] = [];
    if (late > allowedArrivals) {
        breaches.push(`BUDGET: ${late} requests with the part reach runners later than settle_window_ms after the fifth crash`);
    }
    const areEnough = Math.min(calm.length, after.length) >= minimumRequests;
    if (areEnough && readShare(after) < readShare(calm) / 2) {
        breaches.push(`LOST: ${readShare(after).toFixed(3)} of the sound requests begin, before ${readShare(calm).toFixed(3)}`);
    }
    return breaches;
}
