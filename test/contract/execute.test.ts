import { expect } from "earl";
import { describe, it } from "node:test";
import type { KeyedBackendRequest } from "../../src/node/backendServer/index.js";
import { computeTokens, startServiceStandIn } from "../../src/standIn/index.js";
import { activate, createClient, readBody, startEngine, weights } from "./engineSupport.js";
import { applyCondition, type Condition, type ContractCase, expectOutcome, type Outcome, unwrap } from "./support.js";

const prompt = "Who were the parents of Ana?";

const serviceCases: readonly (ContractCase & { readonly step?: string; })[] = [
    { condition: "healthy", outcome: "ok", effects: 1 },
    { condition: "duplicate", outcome: "ok", effects: 2 },
    { condition: "not-listening", outcome: ["ENGINE_UNREACHABLE", false], effects: 0 },
    { condition: "refuse", outcome: ["REQUEST_REFUSED", false], effects: 0 },
    { condition: "outage", outcome: ["STREAM_BROKEN", true], effects: 0 },
    { condition: "reset", outcome: ["STREAM_BROKEN", true], effects: 0 },
    { condition: "slow", outcome: ["STREAM_BROKEN", true], effects: 0 },
    { condition: "lose-answer", outcome: ["STREAM_BROKEN", true], effects: 1 },
    { condition: "cross-answer", outcome: ["STREAM_BROKEN", true], effects: 1, step: "match answer to request" },
];

const streamCases: readonly { condition: Condition; complete: boolean; }[] = [
    { condition: "healthy", complete: true },
    { condition: "slow-stream", complete: true },
    { condition: "truncate", complete: false },
    { condition: "clean-truncate", complete: false },
    { condition: "stall-stream", complete: false },
];

describe("requests to a plain service", { concurrency: true }, () => {
    for (const { condition, outcome, effects, step = "execute request" } of serviceCases) {
        // Guards against a request that is retried although it may have run, and against the response of another
        // request.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using service = await startServiceStandIn();
            await applyCondition(service, "execute", condition);
            await using client = createClient(service.baseUrl, condition, "service");
            const result = await client.execute(createServiceRequest("r1"), new AbortController().signal);
            expectOutcome(result, outcome, step, service);
            expect(service.journal.countEffects("key-1")).toEqual(effects);
            if (result.isOk) {
                const { text, failure } = await readBody(result.value.body);
                expect(failure).toEqual(undefined);
                expect(JSON.parse(text)).toEqual({
                    requestId: "r1",
                    method: "POST",
                    path: "/links",
                    idempotencyKey: "key-1",
                    effects,
                    body: "link",
                });
            }
        });
    }

    // Guards against responses that are matched to requests by their order of arrival.
    it("matches responses that arrive in another order than their requests", async () => {
        await using service = await startServiceStandIn();
        service.faults.add({ operation: "execute", kind: "out-of-order", times: 1, delayMilliseconds: 600_000 });
        await using client = createClient(service.baseUrl, "healthy", "service");
        const order: string[] = [];
        await Promise.all(["r1", "r2"].map(async requestId => {
            const response = unwrap(
                await client.execute(createServiceRequest(requestId), new AbortController().signal),
            );
            const { text } = await readBody(response.body);
            expect((JSON.parse(text) as { requestId: string; }).requestId).toEqual(requestId);
            order.push(requestId);
        }));
        expect(order.length).toEqual(2);
    });

    // Guards against a canceled request that is written once a connection is free.
    it("does not write a request that was canceled before", async () => {
        await using service = await startServiceStandIn();
        await using client = createClient(service.baseUrl, "healthy", "service");
        const result = await client.execute(createServiceRequest("r1"), AbortSignal.abort());
        expectOutcome(result, ["ENGINE_UNREACHABLE", false], "execute request", service);
        unwrap(await client.execute(createServiceRequest("r2"), new AbortController().signal));
        expect(service.journal.list().map(({ requestId }) => requestId)).toEqual(["r2"]);
    });

    // Guards against a restart after a crash that is not detected.
    it("reports a request that crashes the service as possibly run, and a new incarnation afterwards", async () => {
        await using service = await startServiceStandIn({ behaviour: { restartMilliseconds: 0 } });
        await using client = createClient(service.baseUrl, "healthy", "service");
        const before = unwrap(await client.readState()).incarnation;
        const request = { ...createServiceRequest("r1"), body: Buffer.from("crash-backend-server") };
        const result = await client.execute(request, new AbortController().signal);
        expectOutcome(result, ["STREAM_BROKEN", true], "execute request", service);
        await service.resume();
        await using later = createClient(service.baseUrl, "healthy", "service");
        expect(unwrap(await later.readState()).incarnation).not.toEqual(before);
        expect(service.journal.list().map(({ state }) => state)).toEqual(["crashed"]);
    });
});

describe("requests to an engine", { concurrency: true }, () => {
    for (const { condition, complete } of streamCases) {
        for (const stream of [true, false]) {
            // Neither the transport nor the content length shows that the engine itself truncated a JSON response.
            if (condition === "clean-truncate" && !stream) {
                continue;
            }
            // Guards against a partial response that is accepted as complete.
            it(`${complete ? "completes" : "breaks"} ${stream ? "a stream" : "a response"} for ${condition}`, async () => {
                await using engine = await startEngine();
                await using client = createClient(engine.baseUrl, condition);
                unwrap(await activate(client));
                await applyCondition(engine, "execute", condition);
                const response = unwrap(
                    await client.execute(createCompletion("r1", stream), new AbortController().signal),
                );
                const { text, failure } = await readBody(response.body);
                expect([failure?.code, failure?.step, failure?.mayHaveTakenEffect])
                    .toEqual(complete ? [undefined, undefined, undefined] : ["STREAM_BROKEN", "read answer", true]);
                const { model, adapter, version, manifestDigest, requestId } = response;
                expect({ model, adapter, version, manifestDigest, requestId }).toEqual({ ...weights, requestId: "r1" });
                if (complete) {
                    expect(readTokens(text, stream)).toEqual(computeTokens({ ...weights, complete: true }, prompt, 4));
                }
            });
        }
    }

    // Guards against a response from incomplete weights that looks like one from the complete set.
    it("generates other tokens from an incomplete set", async () => {
        await using engine = await startEngine();
        await using client = createClient(engine.baseUrl);
        unwrap(await activate(client, [0]));
        const response = unwrap(await client.execute(createCompletion("r1", false), new AbortController().signal));
        const tokens = readTokens((await readBody(response.body)).text, false);
        expect(tokens).not.toEqual(computeTokens({ ...weights, complete: true }, prompt, 4));
        expect(tokens).toEqual(computeTokens({ ...weights, complete: false }, prompt, 4));
    });

    const otherWeights: readonly { checksRequestedWeights: boolean; outcome: Outcome; step: string; runs: number; }[] =
        [
            { checksRequestedWeights: true, outcome: ["REQUEST_REFUSED", false], step: "execute request", runs: 0 },
            {
                checksRequestedWeights: false,
                outcome: ["STREAM_BROKEN", true],
                step: "match answer to request",
                runs: 1,
            },
        ];
    for (const { checksRequestedWeights, outcome, step, runs } of otherWeights) {
        // Guards against a response from weights other than the requested ones.
        it(`reports ${String(outcome)} for other weights, checked by the engine: ${checksRequestedWeights}`, async () => {
            await using engine = await startEngine({ checksRequestedWeights });
            await using client = createClient(engine.baseUrl);
            unwrap(await activate(client));
            const request = { ...createCompletion("r1", false), manifestDigest: "0".repeat(64) };
            const result = await client.execute(request, new AbortController().signal);
            expectOutcome(result, outcome, step, engine);
            expect(engine.journal.list().length).toEqual(runs);
        });
    }

    // Guards against a canceled request that keeps its slot in the batch, and against a request that a full queue
    // refused and that counts as run.
    it("frees the slot of a canceled stream and refuses requests beyond the queue", async () => {
        await using engine = await startEngine({ capacity: 1, queueLimit: 0, tokenMilliseconds: 1 });
        await using client = createClient(engine.baseUrl);
        unwrap(await activate(client));
        const controller = new AbortController();
        const long = createCompletion("r1", true, 4_096);
        const response = unwrap(await client.execute(long, controller.signal));
        const refused = await client.execute(createCompletion("r2", true), new AbortController().signal);
        expectOutcome(refused, ["REQUEST_REFUSED", false], "execute request", engine);
        const { failure } = await readBody(response.body, () => controller.abort());
        expect(failure?.code).toEqual("STREAM_BROKEN");
        while (engine.journal.list()[0]?.state === "running") {
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(engine.journal.list().map(({ requestId, state }) => [requestId, state])).toEqual([["r1", "canceled"]]);
        unwrap(await client.execute(createCompletion("r3", true), new AbortController().signal));
    });

    // Guards against a stream that is canceled before it starts and keeps its slot in the batch.
    it("frees the slot of a stream that was canceled before its response started", async () => {
        await using engine = await startEngine({ capacity: 1, queueLimit: 0 });
        await using client = createClient(engine.baseUrl);
        unwrap(await activate(client));
        engine.faults.add({ operation: "execute", kind: "out-of-order", times: 1, delayMilliseconds: 600_000 });
        const controller = new AbortController();
        const held = client.execute(createCompletion("r1", true), controller.signal);
        while (engine.journal.list().length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        controller.abort();
        expectOutcome(await held, ["STREAM_BROKEN", true], "execute request", engine);
        while (engine.journal.list()[0]?.state === "running") {
            await new Promise(resolve => setImmediate(resolve));
        }
        unwrap(await client.execute(createCompletion("r2", true), new AbortController().signal));
    });

    // Guards against weight sets and requests that appear to survive a crash of the engine.
    it("loses sets and requests in a crash", async () => {
        await using engine = await startEngine({ restartMilliseconds: 0, tokenMilliseconds: 1 });
        await using client = createClient(engine.baseUrl);
        unwrap(await activate(client));
        const before = unwrap(await client.readState());
        const signal = new AbortController().signal;
        const beside = unwrap(await client.execute(createCompletion("r1", true, 4_096), signal));
        const reading = readBody(beside.body);
        const body = Buffer.from(JSON.stringify({ prompt: "crash-backend-server" }));
        const result = await client.execute({ ...createCompletion("r2", true), body }, signal);
        expectOutcome(result, ["STREAM_BROKEN", true], "execute request", engine);
        expect((await reading).failure?.code).toEqual("STREAM_BROKEN");
        await engine.resume();
        await using later = createClient(engine.baseUrl);
        const after = unwrap(await later.readState());
        expect([after.active, after.staged, after.highestToken]).toEqual([undefined, [], undefined]);
        expect(after.incarnation).not.toEqual(before.incarnation);
        expect(engine.journal.list().map(({ state }) => state)).toEqual(["crashed", "crashed"]);
    });
});

function createServiceRequest(requestId: string): KeyedBackendRequest {
    return {
        requestId,
        method: "POST",
        path: "/links",
        contentType: "text/plain",
        body: Buffer.from("link"),
        priority: 5,
        manifestDigest: undefined,
        idempotencyKey: "key-1",
    };
}

function createCompletion(requestId: string, stream: boolean, tokens = 4): KeyedBackendRequest {
    return {
        requestId,
        method: "POST",
        path: "/v1/completions",
        contentType: "application/json",
        body: Buffer.from(JSON.stringify({ prompt, max_tokens: tokens, stream })),
        priority: 5,
        manifestDigest: weights.manifestDigest,
    };
}

function readTokens(text: string, stream: boolean): string[] {
    if (!stream) {
        return (JSON.parse(text) as { tokens: string[]; }).tokens;
    }
    return [...text.matchAll(/"token":"([0-9a-f]+)"/g)].map(match => match[1]!);
}
