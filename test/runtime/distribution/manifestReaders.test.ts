import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type ChunkMismatch,
    computeManifestReadDelay,
    createManifest,
    decodeManifestChunks,
    encodeManifestChunks,
    isManifestContradicted,
    rankManifestReader,
    resolveDistributionOptions,
} from "../../../src/runtime/distribution/index.js";

const members = Array.from({ length: 430 }, (...[, index]) => `agent-${index}`);
const options = resolveDistributionOptions({ manifestReaders: 3, manifestTakeoverAfter: 600 });

function rank(
    self: string,
    near: readonly string[] = [],
    older: readonly string[] = [],
    forwarding: readonly string[] = [],
): number {
    return rankManifestReader({
        manifestDigest: "scribe@2",
        self,
        members,
        olderMembers: new Set(older),
        forwardingMembers: new Set(forwarding),
        isNear: member => near.includes(member),
    });
}

describe("readers of a manifest", () => {
    // Guards against two agents that both believe to be the first, and against none.
    it("have different ranks, those near the origin first", () => {
        expect(members.map(member => rank(member)).sort((left, right) => left - right)).toEqual([...members.keys()]);
        const near = ["agent-7", "agent-70", "agent-170"];
        expect(near.map(member => rank(member, near)).sort()).toEqual([0, 1, 2]);
    });

    // Guards against takeover times that are spent on agents which never forward the manifest.
    it("do not wait for agents of an older build", () => {
        const ranked = [...members].sort((left, right) => rank(left) - rank(right));
        expect(rank(ranked[1]!)).toEqual(1);
        expect(rank(ranked[1]!, [], ranked.slice(0, 1), ranked.slice(5, 7))).toEqual(0);
        // Of eight members that answered, two forward manifests.
        expect(rank(ranked[46]!, [], ranked.slice(0, 6), ranked.slice(6, 8))).toEqual(10);
    });

    // Guards against a flood of the origin by ranks that take over at once, and against minutes for 430 ranks.
    it("take over one after the other, later ranks in growing groups", () => {
        const delays = members.map((...[, position]) => computeManifestReadDelay(position, 0, options));
        expect(delays.slice(0, 7)).toEqual([0, 0, 0, 600, 1_200, 1_800, 2_400]);
        expect(delays.every((delay, position) => position === 0 || delay >= delays[position - 1]!)).toEqual(true);
        expect(delays.at(-1)! <= 11 * 600).toEqual(true);
        expect(computeManifestReadDelay(3, 1, options)).toEqual(900);
    });

    it("are all agents if none is chosen", () => {
        expect(computeManifestReadDelay(429, 1, resolveDistributionOptions())).toEqual(0);
    });
});

describe("a manifest", () => {
    const cases: readonly (readonly [string, readonly ChunkMismatch[], boolean])[] = [
        ["stays after a corrupt chunk", [{ source: "a", digest: "1" }], false],
        ["stays while corrupt copies differ", [{ source: "a", digest: "1" }, { source: "b", digest: "2" }], false],
        [
            "stays while copies of one source were not received whole",
            [{ source: "a", digest: undefined }, { source: "a", digest: undefined }],
            false,
        ],
        [
            "is wrong if two sources sent the same bytes",
            [{ source: "a", digest: "1" }, { source: "b", digest: "1" }],
            true,
        ],
        [
            "is wrong if the origin sent the same bytes twice",
            [{ source: "origin", digest: "1" }, { source: "b", digest: "2" }, { source: "origin", digest: "1" }],
            true,
        ],
        [
            "is wrong if three sources contradict it",
            [
                { source: "a", digest: undefined },
                { source: "b", digest: undefined },
                { source: "c", digest: undefined },
            ],
            true,
        ],
    ];
    for (const [name, mismatches, expected] of cases) {
        it(name, () => {
            expect(isManifestContradicted(mismatches)).toEqual(expected);
        });
    }

    // Guards against a crash or a wrong number of chunks by what another agent sends.
    it("from a peer is decoded only if sizes and digests fit", () => {
        const weights = { model: "scribe", adapter: "", version: "2", manifestDigest: "scribe@2" };
        const manifest = createManifest(weights, [Buffer.from("a"), Buffer.from("bc")]);
        const encoded = encodeManifestChunks(manifest)!;
        expect(decodeManifestChunks(weights, encoded)).toEqual(manifest);
        expect(decodeManifestChunks(weights, { chunkBytes: [], digests: new Uint8Array() })).toEqual(undefined);
        expect(decodeManifestChunks(weights, { ...encoded, chunkBytes: [1] })).toEqual(undefined);
        expect(decodeManifestChunks(weights, { ...encoded, chunkBytes: [1, 0] })).toEqual(undefined);
        expect(decodeManifestChunks(weights, { ...encoded, digests: encoded.digests.subarray(1) })).toEqual(undefined);
    });
});
