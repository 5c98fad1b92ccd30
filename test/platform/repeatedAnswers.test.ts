import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { runParallel } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment } from "./standIn/deployment.js";
import { createHead, proof, type RawRunner, startRawRunner } from "./standIn/rawRunner.js";

/** Headers with the bytes that a runner writes before and after its answer, in base64. */
const precedingHeader = "x-preceding";
const followingHeader = "x-following";

const earlier = "attempt-id: earlier";
const ownEvents = "id: 1\ndata: own\n\n";

/** Answers to an earlier request, which runners repeat. */
const earlierAnswers: Readonly<Record<string, string>> = {
    "503, named last": createHead("503 Service Unavailable", "not-executed: 1", "content-length: 0", earlier),
    "503, named first": createHead("503 Service Unavailable", earlier, "content-length: 0", "not-executed: 1"),
    "503 without a name": createHead("503 Service Unavailable", "not-executed: 1", "content-length: 0"),
    "503 with a body": `${createHead("503 Service Unavailable", "not-executed: 1", earlier, "content-length: 4")}full`,
    "429": createHead("429 Too Many Requests", "not-executed: 1", "retry-after: 1", earlier, "content-length: 0"),
    "421": createHead("421 Misdirected Request", "at-server: 10.0.0.7:80", earlier, "content-length: 0"),
    "400": createHead("400 Bad Request", "not-executed: 1", earlier, "content-length: 0"),
    "404": createHead("404 Not Found", proof, earlier, "content-length: 0"),
    "500": createHead("500 Internal Server Error", proof, earlier, "content-length: 0"),
};

// Requests that may run once only may still be sent to a second backend server if the first did not run them.
const [safe, unsafe, stream] = operatorConfiguration.routes;
const routes = [
    safe,
    { ...unsafe, max_attempts: 2 },
    stream,
    { ...stream, name: "once", path_prefix: "/once/", resumable: false },
];

/** Requests in progress at the same time. */
const parallelRequests = 16;
/** Bytes between two cuts; a prime, so that different positions of a field are cut in different answers. */
const bytesPerCut: Readonly<Record<string, number>> = { "/unsafe/": 2, "/safe/": 7, "/stream/": 7, "/once/": 7 };
/** Number of cuts after which a request without preceding bytes follows, so that no runner is ejected. */
const cutsPerPlainRequest = 4;

describe("request whose backend server repeats an earlier answer", () => {
    let deployment: TestDeployment;
    const runners: RawRunner[] = [];
    let sent = 0;

    before(async () => {
        deployment = await startDeployment({
            "routing.failuresUntilEjected": "100",
            "gateway.fleetRetries": "1000000",
        });
        deployment.configure({ version: 2, routes });
        for (const id of ["i-1", "i-2"]) {
            const runner = deployment.stack.use(
                await startRawRunner((socket, { attemptId, headers, path }) => {
                    const isStream = path === "/once/" || path === "/stream/";
                    const body = isStream ? ownEvents : "own";
                    const head = createHead(
                        "200 OK",
                        `attempt-id: ${attemptId}`,
                        proof,
                        `content-type: ${isStream ? "text/event-stream" : "text/plain"}`,
                        `content-length: ${body.length}`,
                    );
                    const preceding = Buffer.from(headers.get(precedingHeader) ?? "", "base64").toString("latin1");
                    socket.write(preceding + head + body, "latin1");
                }),
            );
            runners.push(runner);
            await deployment.addRunnerRecord(id, runner.address, { slots: 100 });
        }
    });
    after(async () => {
        await deployment[Symbol.asyncDispose]();
    });

    /** Sends a request, and describes what is wrong with its answer; undefined if nothing is. */
    async function findFault(path: string, header: string, bytes: string): Promise<string | undefined> {
        const attemptId = `fault-${++sent}`;
        const { body, complete, status } = await call(deployment, path, {
            headers: { "attempt-id": attemptId, [header]: Buffer.from(bytes, "latin1").toString("base64") },
        });
        const runs = runners.flatMap(({ requests }) => requests).filter(row => row.attemptId === attemptId).length;
        const ownBody = path === "/once/" || path === "/stream/" ? ownEvents : "own";
        const isOwn = status === 200 && complete && body === ownBody;
        if (runs > 0 && !isOwn && status !== 502) {
            return `${path}: status ${status} with ${JSON.stringify(bytes)}`;
        }
        const mayRepeat = path === "/safe/" || path === "/stream/";
        return !mayRepeat && runs > 1 ? `${path}: ${runs} runs with ${JSON.stringify(bytes)}` : undefined;
    }

    for (const path of Object.keys(bytesPerCut)) {
        it(`is not answered as if it had not run: ${path}, an answer cut anywhere comes first`, async () => {
            const cuts = Object.values(earlierAnswers).flatMap(answer =>
                Array.from(
                    { length: Math.ceil(answer.length / bytesPerCut[path]!) },
                    (...[, index]) => answer.slice(0, answer.length - index * bytesPerCut[path]!),
                )
            );
            const faults: (string | undefined)[] = [];
            await runParallel(cuts.entries(), parallelRequests, async ([index, bytes]) => {
                faults.push(await findFault(path, precedingHeader, bytes));
                if (index % cutsPerPlainRequest === 0) {
                    await call(deployment, path);
                }
                return true;
            });
            expect(faults.filter(fault => fault !== undefined)).toEqual([]);
        });

        it(`is not answered as if it had not run: ${path}, an answer follows the one before`, async () => {
            const faults: (string | undefined)[] = [];
            for (const answer of Object.values(earlierAnswers)) {
                for (const bytes of [answer, answer, answer.slice(0, answer.length / 2)]) {
                    faults.push(await findFault(path, followingHeader, bytes));
                }
            }
            expect(faults.filter(fault => fault !== undefined)).toEqual([]);
        });
    }
});
