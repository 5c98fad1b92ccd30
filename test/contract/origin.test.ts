import { expect } from "earl";
import { describe, it } from "node:test";
import { createOriginClient } from "../../src/node/platform/index.js";
import { createJsonResponse, startStandInServer } from "../../src/standIn/http/index.js";
import { generateWeightSet, type PlatformStandIn, startPlatformStandIn } from "../../src/standIn/index.js";
import { computeDigest } from "../../src/utils/index.js";
import { applyCondition, type Condition, expectOutcome, type Outcome, selectTimeouts, unwrap } from "./support.js";

const declaration = { model: "scribe", adapter: "kin", version: "7", totalBytes: 250_000, chunkBytes: 100_000 };
const { digest, manifest } = generateWeightSet(declaration);

interface OriginCase {
    readonly condition: Condition;
    readonly outcome: Outcome;
}

const manifestCases: readonly OriginCase[] = [
    { condition: "healthy", outcome: "ok" },
    { condition: "corrupt", outcome: ["MANIFEST_INVALID", false] },
    { condition: "clean-truncate", outcome: ["MANIFEST_INVALID", false] },
    { condition: "truncate", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "lose-answer", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "refuse", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "slow", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "not-listening", outcome: ["ORIGIN_UNREACHABLE", false] },
];

const chunkCases: readonly (OriginCase & { readonly intact?: boolean; })[] = [
    { condition: "healthy", outcome: "ok", intact: true },
    { condition: "duplicate", outcome: "ok", intact: true },
    { condition: "slow-stream", outcome: "ok", intact: true },
    { condition: "corrupt", outcome: "ok", intact: false },
    { condition: "clean-truncate", outcome: "ok", intact: false },
    { condition: "truncate", outcome: ["TRANSFER_STALLED", false] },
    { condition: "stall-stream", outcome: ["TRANSFER_STALLED", false] },
    { condition: "lose-answer", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "refuse", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "reset", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "slow", outcome: ["ORIGIN_UNREACHABLE", false] },
    { condition: "not-listening", outcome: ["ORIGIN_UNREACHABLE", false] },
];

describe("reading manifests", { concurrency: true }, () => {
    for (const { condition, outcome } of manifestCases) {
        // Guards against a manifest that is used although it is damaged or belongs to another digest.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using platform = await startPlatform();
            await applyCondition(platform, "manifest-read", condition);
            await using client = createClient(platform, condition);
            const resolved = await client.resolveManifest("scribe", "kin", "7");
            expectOutcome(resolved, outcome, "resolve manifest", platform);
            const read = await client.readManifest(digest);
            expectOutcome(read, outcome, "read manifest", platform);
            expect([resolved, read].flatMap(result => result.isOk ? [result.value] : []))
                .toEqual(outcome === "ok" ? [manifest, manifest] : []);
        });
    }

    // Guards against weights of another version under the requested name or digest.
    it("rejects the manifest of another set", async () => {
        await using server = await startStandInServer({}, () => [{
            operation: "manifest-read",
            method: "GET",
            path: "*",
            handle: () => createJsonResponse(200, manifest, { "x-manifest-digest": digest }),
        }]);
        await using client = createOriginClient({ weightStoreBaseUrl: server.baseUrl });
        const result = await client.resolveManifest("scribe", "kin", "8");
        expectOutcome(result, ["MANIFEST_INVALID", false], "resolve manifest", server);
        const read = await client.readManifest(computeDigest("another set"));
        expectOutcome(read, ["MANIFEST_INVALID", false], "read manifest", server);
    });
});

describe("reading chunks from the origin", { concurrency: true }, () => {
    for (const { condition, outcome, intact } of chunkCases) {
        // Guards against an incomplete transfer that a caller can detect neither by an error nor by the digest.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using platform = await startPlatform();
            await applyCondition(platform, "chunk-read", condition);
            await using client = createClient(platform, condition);
            const result = await client.readChunk(digest, 2);
            expectOutcome(result, outcome, "read chunk from origin", platform);
            const matches = result.isOk ? computeDigest(result.value) === manifest.chunks[2]!.digest : undefined;
            expect(matches).toEqual(intact);
        });
    }

    // Guards against a byte counter of the origin that differs from the bytes sent over its link.
    it("counts the bytes that were read, and refuses unknown chunks", async () => {
        await using platform = await startPlatform();
        await using client = createClient(platform, "healthy");
        await Promise.all([0, 1, 2].map(async index => unwrap(await client.readChunk(digest, index))));
        const unknown = await client.readChunk(digest, 3);
        expectOutcome(unknown, ["CHUNK_REFUSED", false], "read chunk from origin", platform);
        expect(platform.originLink.sentBytes).toEqual(250_000);
    });

    // Guards against a transfer that continues after it was canceled.
    it("ends a canceled transfer", async () => {
        await using platform = await startPlatform();
        platform.faults.add({ operation: "chunk-read", kind: "stall-stream" });
        await using client = createClient(platform, "healthy");
        const controller = new AbortController();
        const reading = client.readChunk(digest, 0, controller.signal);
        controller.abort();
        expectOutcome(await reading, ["ORIGIN_UNREACHABLE", false], "read chunk from origin", platform);
    });
});

function startPlatform(): Promise<PlatformStandIn> {
    return startPlatformStandIn({ weightSets: [declaration] });
}

function createClient(platform: PlatformStandIn, condition: Condition): ReturnType<typeof createOriginClient> {
    return createOriginClient({ weightStoreBaseUrl: platform.baseUrl, timeouts: selectTimeouts(condition) });
}
