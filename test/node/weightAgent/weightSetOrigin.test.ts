import { expect } from "earl";
import { describe, it } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { createWeightSetOrigin } from "../../../src/node/weightAgent/weightSetOrigin.js";
import { createError, type GoldcrestpointError, type Manifest } from "../../../src/types/index.js";

type Answer = Result<Manifest, GoldcrestpointError>;

function createManifest(digest: string): Manifest {
    return { model: "scribe", adapter: "", version: "2", totalBytes: 4, chunks: [{ bytes: 4, digest }] };
}

const right = ok<Manifest, GoldcrestpointError>(createManifest("right"));
const corrupt = ok<Manifest, GoldcrestpointError>(createManifest("corrupt"));
const otherwiseCorrupt = ok<Manifest, GoldcrestpointError>(createManifest("otherwise corrupt"));
const unreachable = err<Manifest, GoldcrestpointError>(createError("ORIGIN_UNREACHABLE", "read", "origin", "down"));
const refused = err<Manifest, GoldcrestpointError>(
    createError("ORIGIN_UNREACHABLE", "read", "origin", "down", { cause: { code: "ECONNREFUSED" } }),
);

/** Reads a manifest from an origin with these answers; returns the digest or the error code, and the stored digests. */
async function readFrom(answers: readonly Answer[]): Promise<{ readonly outcome: string; readonly kept: string[]; }> {
    const kept: string[] = [];
    let reads = 0;
    const origin = createWeightSetOrigin({
        readManifest: () => Promise.resolve(answers[reads++]!),
        readChunk: () => Promise.reject(new Error("not expected in this test")),
    }, (...[, manifest]) => kept.push(manifest.chunks[0]!.digest));
    const manifest = await origin.readManifest("scribe@2");
    return { outcome: manifest.isOk ? manifest.value.chunks[0]!.digest : manifest.error.code, kept };
}

describe("manifests of an origin that may corrupt them", () => {
    it("are accepted once two reads agree", async () => {
        expect(await readFrom([right, right])).toEqual({ outcome: "right", kept: ["right"] });
        expect(await readFrom([right, corrupt, right])).toEqual({ outcome: "right", kept: ["right"] });
        expect(await readFrom([unreachable, right, right])).toEqual({ outcome: "right", kept: ["right"] });
    });

    it("are not accepted while no two reads agree", async () => {
        expect(await readFrom([corrupt, right, otherwiseCorrupt, unreachable])).toEqual({
            outcome: "ORIGIN_UNREACHABLE",
            kept: [],
        });
        expect(await readFrom([unreachable, corrupt, right, otherwiseCorrupt])).toEqual({
            outcome: "ORIGIN_UNREACHABLE",
            kept: [],
        });
    });

    // Guards against four connections in a row, without a delay, to an origin at which nothing listens.
    it("are not read again at once after a refused connection", async () => {
        expect(await readFrom([refused, right, right])).toEqual({ outcome: "ORIGIN_UNREACHABLE", kept: [] });
    });
});
