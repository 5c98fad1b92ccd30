import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computeOriginBackoff,
    computeOriginWindow,
    createBitfield,
    createOriginReaders,
    type PeerRow,
    recordStall,
    resolveDistributionOptions,
    selectTransfers,
    type TransferInput,
    type TransferRow,
} from "../../../src/runtime/distribution/index.js";
import { createSeededRandom, createTable } from "../../../src/utils/index.js";

const chunkCount = 8;
const options = resolveDistributionOptions({
    maximumOriginTransfers: 100,
    originWindow: 2,
    originTakeoverAfter: 1_000,
    avoidSourceFor: 1_000,
    maximumAvoidFactor: 4,
});

/** Returns the chunks that the only member reads from the origin, with the times at which others became known. */
function listReads(
    now: number,
    availableSince: ReadonlyMap<number, number> = new Map(),
    changes: Partial<TransferInput> = {},
): number[] {
    return selectTransfers({
        manifest: {
            model: "scribe",
            adapter: "",
            version: "1",
            totalBytes: chunkCount * 10,
            chunks: Array.from({ length: chunkCount }, () => ({ bytes: 10, digest: "" })),
        },
        held: createBitfield(chunkCount),
        transfers: createTable<number, TransferRow>(),
        peers: createTable<string, PeerRow>(),
        originReaders: createOriginReaders("set", chunkCount, [], "a"),
        zone: "sando-hall",
        zoneReaders: createOriginReaders("set", chunkCount, [], "a"),
        availableSince,
        startedAt: 0,
        neighboursAnswered: true,
        objective: "origin-bytes",
        budgetBytes: Infinity,
        arrivedBytes: 0,
        arrivedAt: -Infinity,
        originAvoidedUntil: 0,
        now,
        random: createSeededRandom(1),
        options,
        ...changes,
    }).filter(({ kind }) => kind === "fetch-from-origin").map(({ index }) => index).sort();
}

describe("reads from the origin", () => {
    // Guards against readers that share the origin's link, so that no chunk is forwarded before all have been read.
    it("begin with the first chunks, and go on as these become available", () => {
        expect(listReads(500)).toEqual([0, 1]);
        expect(listReads(500, new Map([[0, 400], [5, 450]]))).toEqual([0, 1, 2, 3]);
    });

    // Guards against a version that never arrives, since the readers of the first chunks are dead.
    it("reach further chunks after each takeover time without a further available one", () => {
        expect(listReads(1_000)).toEqual([0, 1, 2, 3]);
        expect(listReads(1_900, new Map([[0, 1_000]]))).toEqual([0, 1, 2]);
        expect(listReads(3_000)).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
    });
});

describe("the window of reads from the origin", () => {
    const kibibyte = 1_024;
    const cases = [
        // Guards against a window that is too small for the speed of the links, which idles the origin.
        { time: 500, link: 665_000, bytes: 32 * kibibyte, chunks: 11 },
        { time: 500, link: 638_750, bytes: 24 * kibibyte, chunks: 13 },
        { time: 500, link: 125_000_000, bytes: 2_048 * kibibyte, chunks: 30 },
        // Guards against chunks that no one may read, since the links are slow.
        { time: 500, link: 1_000, bytes: 32 * kibibyte, chunks: 1 },
        // Guards against a window where none is set.
        { time: 0, link: 665_000, bytes: 32 * kibibyte, chunks: 0 },
    ];
    for (const { bytes, chunks, link, time } of cases) {
        it(`holds ${chunks} chunks of ${bytes} bytes at ${link} bytes a second and ${time} ms`, () => {
            const manifest = {
                model: "scribe",
                adapter: "",
                version: "1",
                totalBytes: 10 * bytes,
                chunks: Array.from({ length: 10 }, () => ({ bytes, digest: "" })),
            };
            const derived = resolveDistributionOptions({ originWindowTime: time, linkBytesPerSecond: link });
            expect(computeOriginWindow(manifest, derived)).toEqual(chunks);
        });
    }
});

describe("the delay after a failed read from the origin", () => {
    const cases = [
        // Guards against readers that stay away for seconds after a restart of the origin, since their delays doubled.
        { kind: "refused", failures: 9, members: 14, range: [125, 250] },
        { kind: "refused", failures: 9, members: 24, range: [150, 300] },
        // Guards against hundreds of agents that return to the origin at the same time.
        { kind: "refused", failures: 9, members: 128, range: [800, 1_600] },
        { kind: "refused", failures: 9, members: 3_200, range: [2_000, 4_000] },
        // Guards against readers that add to the load of an origin that is too slow for those it has.
        { kind: "other", failures: 9, members: 14, range: [2_000, 4_000] },
        { kind: "other", failures: 1, members: 14, range: [125, 250] },
    ] as const;

    for (const { failures, kind, members, range } of cases) {
        it(`is ${range[0]} to ${range[1]} ms after ${failures} failures (${kind}) with ${members} members`, () => {
            const delays = [0, 1].map(next =>
                computeOriginBackoff({ kind, failures, members, firstDelay: 250, random: { next: () => next } })
            );
            expect(delays).toEqual([...range]);
        });
    }

    // Guards against agents that wait although another one has already read from the origin again.
    it("ends when a chunk has become available since the connection was refused", () => {
        const avoided = { originAvoidedUntil: 5_000, originRefusedAt: 400 };
        expect(listReads(500, new Map([[0, 300]]), avoided)).toEqual([]);
        expect(listReads(500, new Map([[0, 450]]), avoided)).toEqual([0, 1, 2]);
        expect(listReads(500, new Map([[0, 450]]), { originAvoidedUntil: 5_000 })).toEqual([]);
    });
});

describe("a source whose transfers stall", () => {
    // Guards against an agent that answers exchanges but sends nothing, which each requester asks again and again.
    it("is avoided for twice as long each time, up to a limit", () => {
        const peer: PeerRow = {
            instance: "b",
            zone: "sando-hall",
            bitfield: createBitfield(chunkCount),
            heardAt: 0,
            progressedAt: 0,
            sentBytes: 0,
            corruptChunks: 0,
            failedTransfers: 0,
            avoidedUntil: 0,
            chokedUntil: 0,
        };
        const times = Array.from({ length: 4 }, () => {
            recordStall(peer, 0, options);
            return peer.avoidedUntil;
        });
        expect(times).toEqual([1_000, 2_000, 4_000, 4_000]);
        recordStall(peer, 0, resolveDistributionOptions({ avoidSourceFor: 1_000 }));
        expect(peer.avoidedUntil).toEqual(1_000);
    });
});
