import { expect } from "earl";
import { describe, it } from "node:test";
import { createJsonResponse, startStandInServer } from "../../src/standIn/http/index.js";
import { computeDigest } from "../../src/utils/index.js";
import {
    activate,
    createClient,
    createPrepareOrder,
    createToken,
    startEngine,
    weights,
    weightSet,
} from "./engineSupport.js";
import { applyCondition, type Condition, type ContractCase, expectOutcome, type Outcome, unwrap } from "./support.js";

const orderCases: readonly ContractCase[] = [
    { condition: "healthy", outcome: "ok", effects: 1 },
    { condition: "duplicate", outcome: "ok", effects: 1 },
    { condition: "not-listening", outcome: ["ENGINE_UNREACHABLE", false], effects: 0 },
    { condition: "refuse", outcome: ["ENGINE_REFUSED", false], effects: 0 },
    { condition: "outage", outcome: ["ORDER_AMBIGUOUS", true], effects: 0 },
    { condition: "reset", outcome: ["ORDER_AMBIGUOUS", true], effects: 0 },
    { condition: "slow", outcome: ["ORDER_AMBIGUOUS", true], effects: 0 },
    { condition: "lose-answer", outcome: ["ORDER_AMBIGUOUS", true], effects: 1 },
    { condition: "truncate", outcome: ["ORDER_AMBIGUOUS", true], effects: 1 },
    { condition: "clean-truncate", outcome: ["ORDER_AMBIGUOUS", true], effects: 1 },
];

const chunkCases: readonly { condition: Condition; stage: Outcome; read: Outcome; }[] = [
    { condition: "healthy", stage: "ok", read: "ok" },
    { condition: "duplicate", stage: "ok", read: "ok" },
    { condition: "not-listening", stage: ["ENGINE_UNREACHABLE", false], read: ["ENGINE_UNREACHABLE", false] },
    { condition: "refuse", stage: ["ENGINE_REFUSED", false], read: ["ENGINE_UNREACHABLE", false] },
    { condition: "lose-answer", stage: ["ENGINE_UNREACHABLE", true], read: ["ENGINE_UNREACHABLE", false] },
    { condition: "slow", stage: ["ENGINE_UNREACHABLE", true], read: ["ENGINE_UNREACHABLE", false] },
    { condition: "truncate", stage: ["ENGINE_UNREACHABLE", true], read: ["TRANSFER_STALLED", false] },
];

describe("orders to an engine", { concurrency: true }, () => {
    for (const { condition, outcome, effects } of orderCases) {
        // Guards against an order that is reported as refused although it took effect, and the reverse.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using engine = await startEngine();
            await applyCondition(engine, "engine-order", condition);
            await using client = createClient(engine.baseUrl, condition);
            const result = await client.order(createPrepareOrder(createToken(1)));
            expectOutcome(result, outcome, "order prepare", engine);
            await engine.resume();
            await using reader = createClient(engine.baseUrl);
            expect(unwrap(await reader.readState()).staged.length).toEqual(effects);
        });
    }

    const tokens: readonly { oldTokens: "refuse" | "ignore"; sequence: number; outcome: Outcome; active: boolean; }[] =
        [
            { oldTokens: "refuse", sequence: 1, outcome: ["ENGINE_REFUSED", false], active: true },
            { oldTokens: "refuse", sequence: 2, outcome: "ok", active: false },
            { oldTokens: "ignore", sequence: 1, outcome: "ok", active: false },
        ];
    for (const { oldTokens, sequence, outcome, active } of tokens) {
        // Guards against an agent that relies on every engine to refuse orders of the agent's earlier process.
        it(`reports ${String(outcome)} for sequence ${sequence} after 2 if the engine handles old tokens with ${oldTokens}`, async () => {
            await using engine = await startEngine({ oldTokens });
            await using client = createClient(engine.baseUrl);
            unwrap(await activate(client));
            const result = await client.order({ kind: "deactivate", token: createToken(sequence) });
            expectOutcome(result, outcome, "order deactivate", engine);
            expect(unwrap(await client.readState()).active !== undefined).toEqual(active);
        });
    }

    // Guards against a late response to another order that is accepted as the response to this one.
    it("does not accept the response to another order", async () => {
        await using server = await startStandInServer({}, () => [{
            operation: "engine-order",
            method: "POST",
            path: "/orders",
            handle: () => createJsonResponse(200, { kind: "prepare", token: createToken(1) }),
        }]);
        await using client = createClient(server.baseUrl);
        const result = await client.order(createPrepareOrder(createToken(2)));
        expectOutcome(result, ["ORDER_AMBIGUOUS", true], "order prepare", server);
    });

    const incomplete: readonly { refusesIncompleteSets: boolean; outcome: Outcome; }[] = [
        { refusesIncompleteSets: true, outcome: ["ENGINE_REFUSED", false] },
        { refusesIncompleteSets: false, outcome: "ok" },
    ];
    for (const { refusesIncompleteSets, outcome } of incomplete) {
        // Guards against an agent that relies on every engine to refuse a set with missing chunks.
        it(`reports ${String(outcome)} for an incomplete set, refused: ${refusesIncompleteSets}`, async () => {
            await using engine = await startEngine({ refusesIncompleteSets });
            await using client = createClient(engine.baseUrl);
            expectOutcome(await activate(client, [0, 2]), outcome, "order activate", engine);
            const [staged] = unwrap(await client.readState()).staged;
            expect(staged).toEqual({ manifestDigest: weights.manifestDigest, chunksTotal: 3, bitfield: "BQ==" });
        });
    }
});

describe("staged chunks", { concurrency: true }, () => {
    for (const { condition, stage, read } of chunkCases) {
        // Guards against a chunk that counts as staged or read although it may be incomplete.
        it(`reports ${String(stage)} and ${String(read)} for ${condition}`, async () => {
            await using engine = await startEngine();
            await using preparing = createClient(engine.baseUrl);
            unwrap(await preparing.order(createPrepareOrder(createToken(1))));
            const content = weightSet.readChunk(0)!;
            unwrap(await preparing.stageChunk(weightSet.digest, 0, content));
            // A response without a body cannot be truncated, so it is lost instead.
            await applyCondition(engine, "chunk-stage", condition === "truncate" ? "lose-answer" : condition);
            await applyCondition(engine, "chunk-read", condition);
            await using client = createClient(engine.baseUrl, condition);
            const staged = await client.stageChunk(weightSet.digest, 0, content);
            expectOutcome(staged, stage, "stage chunk", engine);
            const result = await client.readChunk(weightSet.digest, 0);
            expectOutcome(result, read, "read staged chunk", engine);
            expect(result.isOk ? computeDigest(result.value) : undefined)
                .toEqual(read === "ok" ? weightSet.manifest.chunks[0]!.digest : undefined);
        });
    }

    // Guards against chunks that the engine cannot store and that are lost without an error.
    it("refuses chunks of a set that is not prepared, outside the set, or beyond the memory", async () => {
        await using engine = await startEngine({ memoryBytes: 1_500 });
        await using client = createClient(engine.baseUrl);
        const stage = (index: number): ReturnType<typeof client.stageChunk> =>
            client.stageChunk(weightSet.digest, index, weightSet.readChunk(0)!);
        const refused: Outcome = ["ENGINE_REFUSED", false];
        expectOutcome(await stage(0), refused, "stage chunk", engine);
        unwrap(await client.order(createPrepareOrder(createToken(1))));
        expectOutcome(await stage(3), refused, "stage chunk", engine);
        expectOutcome(await stage(0), "ok", "stage chunk", engine);
        expectOutcome(await stage(1), refused, "stage chunk", engine);
        expectOutcome(
            await client.readChunk(weightSet.digest, 1),
            ["CHUNK_REFUSED", false],
            "read staged chunk",
            engine,
        );
    });

    // Guards against orders to a plain service, which has no weights.
    it("refuses orders and chunks for a plain service without a call", async () => {
        await using engine = await startEngine();
        await using client = createClient(engine.baseUrl, "healthy", "service");
        const refused: Outcome = ["ENGINE_REFUSED", false];
        expectOutcome(await client.order(createPrepareOrder(createToken(1))), refused, "order prepare", engine);
        expectOutcome(await client.readChunk(weightSet.digest, 0), refused, "read staged chunk", engine);
    });
});
