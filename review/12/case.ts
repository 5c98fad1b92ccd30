import { join } from "node:path";
import { createServerRecord } from "../../test/platform/standIn/serverRecord.js";
import { startRunnerStandIn } from "../../test/platform/standIn/runnerStandIn.js";
import { createAttemptId, sendCall } from "../lib-3/caller.js";
import { apiKey, host, safeRoute, startModelInstallation, streamRoute, zone } from "../lib-3/installation.js";
import { model } from "../lib-3/modelRunner.js";
import { sendRaw } from "../lib-3/rawStream.js";
import { hasTrouble, pause, runCase, waitUntil } from "../lib-3/record.js";

const calmMilliseconds = 6_000;
const troubleMilliseconds = 24_000;
const streamInterval = 125;
const safeInterval = 50;
const routeTimeout = 1_000;
const safeDeadline = 2_000;
const streamDeadline = 6_032;
const answerMargin = 500;
const probeLimit = 1_000;

interface SafeRequest {
    readonly at: number;
    readonly status: number | undefined;
    readonly took: number;
}

await runCase(join("review", "12", "record.txt"), async record => {
    await using installation = await startModelInstallation(record, {
        fronts: 2,
        runners: 4,
        runner: { firstMilliseconds: 60, events: 10, eventMilliseconds: 20, downMilliseconds: 2_000 },
        routes: [{ ...safeRoute, timeout_ms: routeTimeout }],
        services: [{ name: safeRoute.service, health_path: "/health", max_connections: 110, protocol: "h1", tls: false }],
        onMessage: message => {
            if (message.kind === "arrival") {
                record.write(`${message.request.runner} gets ${message.request.attemptId}`);
            }
            else if (message.kind === "endless") {
                record.write(`${message.attemptId}: the channel was closed after ${message.bytes} bytes`);
            }
        },
    });
    const { children, fronts, machines: { ports }, store } = installation;
    const plain = await Promise.all([0, 1].map(async index => {
        const runner = await startRunnerStandIn({ id: `i-plain-${index}`, workMilliseconds: 30, load: "1,0,6" });
        const entry = { service: safeRoute.service, zone, slots: 6, born: Date.now() };
        store.write("keyed.servers", runner.id, createServerRecord(runner.address, entry));
        return runner;
    }));

    async function sendSafe(ip: string): Promise<SafeRequest> {
        const at = record.seconds();
        const startedAt = performance.now();
        const { attemptId, status } = await sendCall({
            host: ip,
            port: ports.front,
            path: `${safeRoute.path_prefix}2f`,
            method: "GET",
            headers: { host, authorization: `Token ${apiKey}` },
            deadline: safeDeadline,
        });
        const took = performance.now() - startedAt;
        record.write(`safe ${attemptId} at ${ip} sent at ${at.toFixed(3)}: ${status ?? "no answer"} after ${took.toFixed(0)} ms`);
        return { at, status, took };
    }

    async function sendStream(ip: string): Promise<boolean> {
        const attemptId = createAttemptId();
        const at = record.seconds();
        const answer = await sendRaw({ host: ip, port: ports.front }, [
            `POST ${streamRoute.path_prefix}2f HTTP/1.1`,
            `Host: ${host}`,
            `Attempt-Id: ${attemptId}`,
            `Model: ${model.name}`,
            "Token-Usage: 1460,80",
            `Prompt-Prefix: 5c1e07a2:40,${attemptId}:250`,
            `Deadline-Ms: ${streamDeadline}`,
            `Authorization: Token ${apiKey}`,
        ], "read this page", streamDeadline);
        record.write(
            `stream ${attemptId} at ${ip} sent at ${at.toFixed(3)}: ${answer.status ?? "no answer"}, ${answer.bytes} bytes, ` +
                `${answer.complete ? "complete" : "incomplete"} after ${answer.endedAfter.toFixed(0)} ms`,
        );
        return answer.status === 200 && answer.complete;
    }

    async function probe(ip: string): Promise<boolean> {
        const answer = await sendCall({
            host: ip,
            port: ports.ready,
            path: "/api/ready",
            method: "GET",
            headers: {},
            deadline: probeLimit,
        });
        if (answer.status !== 200) {
            record.write(`probe of ${ip}: ${answer.status ?? "no answer"}`);
        }
        return answer.status === 200;
    }

    for (const { ip, name } of fronts) {
        await waitUntil(`the plain service serves at ${name}`, async () => (await sendSafe(ip)).status === 200);
    }
    await pause(1_000);
    const safe: Promise<SafeRequest>[] = [];
    const streams: { readonly at: number; readonly served: Promise<boolean>; }[] = [];
    const probes: Promise<boolean>[] = [];
    const startedAt = performance.now();
    const troubleAt = record.seconds() + calmMilliseconds / 1_000;
    const due = { stream: startedAt, safe: startedAt, probe: startedAt, trouble: startedAt + calmMilliseconds };
    for (let count = 0; performance.now() < startedAt + calmMilliseconds + troubleMilliseconds; count++) {
        const now = performance.now();
        const { ip } = fronts[count % fronts.length]!;
        if (now >= due.safe) {
            due.safe += safeInterval;
            safe.push(sendSafe(ip));
        }
        if (now >= due.stream) {
            due.stream += streamInterval;
            streams.push({ at: record.seconds(), served: sendStream(ip) });
        }
        if (now >= due.probe) {
            due.probe += 1_000;
            probes.push(...fronts.map(front => probe(front.ip)));
        }
        if (now >= due.trouble) {
            due.trouble = Infinity;
            if (hasTrouble) {
                record.write("a runner answers with bytes without end");
                children[0]!.send("endless-body");
            }
        }
        await pause(10);
    }
    const answers = await Promise.all(safe);
    const served = await Promise.all(streams.map(stream => stream.served));
    const missed = (await Promise.all(probes)).filter(isReady => !isReady).length;
    await Promise.all(plain.map(runner => runner[Symbol.asyncDispose]()));

    const after = answers.filter(({ at }) => at >= troubleAt);
    const unanswered = after.filter(({ took }) => took >= routeTimeout);
    const late = unanswered.filter(({ status, took }) => status === undefined || took > routeTimeout + answerMargin);
    const isServed = (isAfter: boolean): string => {
        const chosen = served.filter((...[, index]) => streams[index]!.at >= troubleAt === isAfter);
        return `${chosen.filter(Boolean).length} of ${chosen.length}`;
    };
    record.write(`streams served before: ${isServed(false)}, after: ${isServed(true)}`);
    record.write(`safe requests after: ${after.length}, answered with 200: ${after.filter(({ status }) => status === 200).length}`);
    record.write(`unanswered at the timeout of their route: ${unanswered.length}, still half a second later: ${late.length}`);
    record.write(`probes without a 200: ${missed}`);
    return late.length >= 8 && late.length > unanswered.length / 4 ?
        [`CONFIG: ${late.length} of ${unanswered.length} safe requests have no answer half a second after their route's timeout`] :
        [];
});
