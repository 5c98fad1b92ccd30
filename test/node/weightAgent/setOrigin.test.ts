import { expect } from "earl";
import { describe, it } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { createSetOrigin } from "../../../src/node/weightAgent/setOrigin.js";
import { createError, type GoldcrestpointError, type Manifest } from "../../../src/types/index.js";

type Answer = Result<Manifest, GoldcrestpointError>;

function createManifest(digest: string): Manifest {
    return { model: "scribe", adapter: "", version: "2", totalBytes: 4, chunks: [{ bytes: 4, digest }] };
}

const right = ok<Manifest, GoldcrestpointError>(createManifest("right"));
const spoilt = ok<Manifest, GoldcrestpointError>(createManifest("spoilt"));
const otherwiseSpoilt = ok<Manifest, GoldcrestpointError>(createManifest("otherwise spoilt"));
const unreachable = err<Manifest, GoldcrestpointError>(createError("ORIGIN_UNREACHABLE", "read", "origin", "down"));

/** Reads a manifest from an origin that gives these answers; tells the digest or the error, and what was kept. */
async function readFrom(answers: readonly Answer[]): Promise<{ readonly outcome: string; readonly kept: string[]; }> {
    const kept: string[] = [];
    let reads = 0;
    const origin = createSetOrigin({
        readManifest: () => Promise.resolve(answers[reads++]!),
        readChunk: () => Promise.reject(new Error("not used here")),
    }, (...[, manifest]) => kept.push(manifest.chunks[0]!.digest));
    const manifest = await origin.readManifest("scribe@2");
    return { outcome: manifest.isOk ? manifest.value.chunks[0]!.digest : manifest.error.code, kept };
}

describe("manifests of an origin that may spoil them", () => {
    it("count once two reads agree", async () => {
        expect(await readFrom([right, right])).toEqual({ outcome: "right", kept: ["right"] });
        expect(await readFrom([right, spoilt, right])).toEqual({ outcome: "right", kept: ["right"] });
        expect(await readFrom([unreachable, right, right])).toEqual({ outcome: "right", kept: ["right"] });
    });

    it("do not count while no two reads agree", async () => {
        expect(await readFrom([spoilt, right, otherwiseSpoilt, unreachable])).toEqual({
            outcome: "ORIGIN_UNREACHABLE",
            kept: [],
        });
        expect(await readFrom([unreachable, spoilt, right, otherwiseSpoilt])).toEqual({
            outcome: "ORIGIN_UNREACHABLE",
            kept: [],
        });
    });
});
