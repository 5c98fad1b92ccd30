import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import {
    computeManifestDigest,
    countChunks,
    createManifest,
    decideUpload,
    decodeBitfield,
    encodeBitfield,
    isComplete,
    type PeerRow,
    recordCorruptChunk,
    resolveDistributionOptions,
    verifyChunk,
    verifyManifest,
} from "../../../src/runtime/distribution/index.js";

const content = Uint8Array.from({ length: 25 }, (...[, index]) => index);
const manifest = createManifest({ model: "scribe", adapter: "", version: "v1" }, content, 10);
const digest = computeManifestDigest(manifest);

describe("verification of weights", () => {
    // Guards against accepting a manifest that differs from the pinned one.
    it("accepts only the manifest with the pinned digest", () => {
        expect(manifest.chunks.map(({ bytes }) => bytes)).toEqual([10, 10, 5]);
        const reordered = { chunks: manifest.chunks, totalBytes: 25, version: "v1", adapter: "", model: "scribe" };
        expect(verifyManifest(reordered, digest, "origin").isOk).toEqual(true);
        const changes = [
            { model: "archive" },
            { adapter: "dialect" },
            { version: "v2" },
            { totalBytes: 26 },
            { chunks: manifest.chunks.slice(1) },
            { chunks: [...manifest.chunks].reverse() },
        ];
        for (const change of changes) {
            expect(verifyManifest({ ...manifest, ...change }, digest, "origin").isErr).toEqual(true);
        }
        const unsound = { ...manifest, totalBytes: 26 };
        expect(verifyManifest(unsound, computeManifestDigest(unsound), "origin").isErr).toEqual(true);
    });

    // Guards against corrupt, truncated, overlong or misplaced chunks.
    it("accepts only a chunk's own content", () => {
        const chunk = content.subarray(10, 20);
        expect(verifyChunk(manifest, 1, chunk)).toEqual(true);
        expect(verifyChunk(manifest, 1, content.subarray(10, 19))).toEqual(false);
        expect(verifyChunk(manifest, 1, content.subarray(10, 21))).toEqual(false);
        expect(verifyChunk(manifest, 0, chunk)).toEqual(false);
        expect(verifyChunk(manifest, 3, chunk)).toEqual(false);
        expect(verifyChunk(manifest, 1, chunk.map(byte => byte ^ 1))).toEqual(false);
    });

    // Guards against excess bits in a peer's answer, which would make a set look complete.
    it("decodes bitfields of any length to the length of the set", () => {
        fc.assert(fc.property(fc.uint8Array({ maxLength: 6 }), fc.integer({ min: 1, max: 20 }), (bytes, chunks) => {
            const bitfield = decodeBitfield(bytes, chunks);
            expect(bitfield.length).toEqual(Math.ceil(chunks / 8));
            expect(decodeBitfield(encodeBitfield(bitfield), chunks)).toEqual(bitfield);
            expect(isComplete(bitfield, chunks)).toEqual(countChunks(bitfield, chunks) === chunks);
            expect(countChunks(bitfield, chunks)).toEqual(countChunks(bitfield, bitfield.length * 8));
        }));
        expect(isComplete(new Uint8Array(), 0)).toEqual(false);
    });

    // Guards against uploads beyond the allowance while the requesters have other sources.
    it("sends no more than the upload allowance, except as the last resort", () => {
        const options = resolveDistributionOptions();
        const sizes = fc.array(fc.record({ chunkBytes: fc.integer({ min: 1, max: 90 }), lastResort: fc.boolean() }));
        fc.assert(fc.property(sizes, requests => {
            let sentBytes = 0;
            for (const { chunkBytes, lastResort } of requests) {
                const base = { held: true, totalBytes: 100, uploadsInProgress: 0, options };
                const { allowed } = decideUpload({ ...base, chunkBytes, sentBytes, lastResort });
                expect(allowed).toEqual(lastResort || sentBytes + chunkBytes <= 110 + 1e-9);
                sentBytes += allowed && !lastResort ? chunkBytes : 0;
            }
            expect(sentBytes <= 110 + 1e-9).toEqual(true);
        }));
        const request = { chunkBytes: 1, totalBytes: 100, sentBytes: 0, lastResort: true, options };
        expect(decideUpload({ ...request, held: false, uploadsInProgress: 0 }).allowed).toEqual(false);
        expect(decideUpload({ ...request, held: true, uploadsInProgress: 16 }).allowed).toEqual(false);
    });

    // Guards against a source that keeps sending corrupt chunks, and against avoiding a source after one error.
    it("avoids a source from its second corrupt chunk on", () => {
        const options = resolveDistributionOptions();
        const peer = { corruptChunks: 0, avoidedUntil: 0 } as PeerRow;
        expect(recordCorruptChunk(peer, 100, options)).toEqual(false);
        expect(peer.avoidedUntil).toEqual(0);
        expect(recordCorruptChunk(peer, 100, options)).toEqual(true);
        expect(peer.avoidedUntil).toEqual(30_100);
    });
});
