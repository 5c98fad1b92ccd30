import { expect } from "earl";
import { createHash } from "node:crypto";
import { describe, it } from "node:test";
import { createEngineClient } from "../../platform/engineClient.js";
import { createOriginClient } from "../../platform/originClient.js";
import { stageWeights } from "../../src/node/weightAgent/stageWeights.js";
import { createManifest } from "../../src/runtime/distribution/index.js";
import type { LoadOrder, RunningRequestsPolicy } from "../../src/types/index.js";
import { expectOk } from "../node/support.js";
import { startEngineStandIn } from "./standIn/engineStandIn.js";
import { sendJson, startHttpStandIn } from "./standIn/httpStandIn.js";

const chunks = Array.from({ length: 4 }, (...[, index]) => Buffer.alloc(64, index + 1));
const manifest = createManifest({ model: "quill", adapter: "", version: "2" }, chunks);
const read = (index: number) => chunks[index];

function createOrder(version: number, running: RunningRequestsPolicy): LoadOrder {
    return { model: "quill", version, expectedSequence: 0, running, mayWrite: () => true };
}

describe("staging of weights at an engine", () => {
    it("writes what is missing or of another version, and reads everything back", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        engine.stage.set(0, chunks[0]!);
        engine.stage.set(1, Buffer.alloc(64, 99));
        expect(expectOk(await stageWeights(client, manifest, read))).toEqual({ written: 3, rounds: 2 });
        expect([...engine.stage.entries()].every(([index, chunk]) => chunk.equals(chunks[index]!))).toEqual(true);
    });

    it("writes a corrupted chunk again, and gives up after several rounds", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        engine.corruptWrites.set(2, 1);
        expect(expectOk(await stageWeights(client, manifest, read)).written).toEqual(5);
        engine.stage.clear();
        engine.corruptWrites.set(2, 9);
        const staged = await stageWeights(client, manifest, read);
        expect(staged.isErr && staged.error.code).toEqual("CHUNK_CORRUPT");
    });

    it("does not stage a chunk that is corrupt in memory", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        const staged = await stageWeights(client, manifest, index => index === 3 ? Buffer.alloc(64) : chunks[index]);
        expect(staged.isErr && staged.error.code).toEqual("CHUNK_CORRUPT");
        expect(engine.orders).toEqual([]);
    });
});

describe("orders to an engine", () => {
    it("carry the order sequence that they are based on", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        expect(expectOk(await client.load(createOrder(2, "finish")))).toEqual("begun");
        expect(expectOk(await client.load(createOrder(3, "cut-off")))).toEqual("refused");
        expect(engine.orders).toEqual([
            { op: "start", model: "quill", version: 2, mode: "wait", expect: 0 },
            { op: "start", model: "quill", version: 3, mode: "truncate", expect: 0 },
        ]);
        const report = expectOk(await client.readReport());
        expect([report.weights?.version, report.orderSequence, report.startedAt]).toEqual([2, 1, 5]);
    });

    // Guards against an order that loads the same version again and has no effect, since it is loaded.
    it("make the engine give up its weights by loading no layers", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        expect(expectOk(await client.unload(createOrder(2, "cut-off")))).toEqual("begun");
        expect(engine.orders).toEqual([
            { op: "start", model: "quill", version: 2, mode: "truncate", expect: 0, from: 0, target: 0 },
        ]);
    });

    it("are ambiguous when the answer is lost", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        engine.loseAnswers = true;
        const ordered = await client.load(createOrder(2, "finish"));
        expect(ordered.isErr && [ordered.error.code, ordered.error.mayHaveTakenEffect]).toEqual([
            "ORDER_AMBIGUOUS",
            true,
        ]);
        expect(expectOk(await client.readReport()).weights?.version).toEqual(2);
    });

    // Guards against an order that is sent although its conditions ceased to hold while it waited for a connection.
    it("are not sent if they must not be written any more", async () => {
        await using engine = await startEngineStandIn("quill");
        await using client = createEngineClient(engine.address);
        const ordered = await client.load({ ...createOrder(2, "finish"), mayWrite: () => false });
        expect(ordered.isErr && ordered.error.mayHaveTakenEffect).toEqual(false);
        expect(engine.orders).toEqual([]);
        expect(expectOk(await client.load(createOrder(2, "finish")))).toEqual("begun");
    });
});

describe("origin of weights", () => {
    const digests = chunks.map(chunk => createHash("sha256").update(chunk).digest("hex"));

    it("returns the manifest and the chunks of a version", async () => {
        await using origin = await startHttpStandIn((...[, response, url]) => {
            if (url.pathname === "/api/manifest/quill") {
                sendJson(response, 200, { model: "quill", version: 2, chunk_bytes: 64, layers: 2, digests });
                return;
            }
            response.end(chunks[Number(url.searchParams.get("digest_count"))]);
        });
        await using client = createOriginClient();
        client.useAddress(origin.address);
        expect(expectOk(await client.readManifest("quill", 2))).toEqual(manifest);
        expect(Buffer.compare(expectOk(await client.readChunk("quill", 2, 3)), chunks[3]!)).toEqual(0);
    });

    const faults: readonly (readonly [string, unknown])[] = [
        ["of another version", { model: "quill", version: 1, chunk_bytes: 64, layers: 2, digests }],
        ["with an invalid digest", { model: "quill", version: 2, chunk_bytes: 64, layers: 2, digests: ["x"] }],
        ["without chunks", { model: "quill", version: 2, chunk_bytes: 64, layers: 2, digests: [] }],
    ];
    for (const [name, content] of faults) {
        it(`refuses a manifest ${name}`, async () => {
            await using origin = await startHttpStandIn((...[, response]) => sendJson(response, 200, content));
            await using client = createOriginClient();
            client.useAddress(origin.address);
            const read = await client.readManifest("quill", 2);
            expect(read.isErr && read.error.code).toEqual("MANIFEST_INVALID");
        });
    }

    it("cannot be read before its address is known", async () => {
        await using client = createOriginClient();
        const read = await client.readManifest("quill", 2);
        expect(read.isErr && read.error.code).toEqual("ORIGIN_UNREACHABLE");
    });
});
