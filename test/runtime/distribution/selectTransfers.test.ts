import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import {
    addChunk,
    createBitfield,
    createOriginReaders,
    type DistributionOptions,
    type PeerRow,
    resolveDistributionOptions,
    selectNeighbours,
    selectTransfers,
    type TransferInput,
    type TransferRow,
} from "../../../src/runtime/distribution/index.js";
import type { Manifest, Objective } from "../../../src/types/index.js";
import { createSeededRandom, createTable } from "../../../src/utils/index.js";

const chunkCount = 6;
const members = ["a", "b", "c", "d", "e", "f"];

function createManifestOf(chunks: number): Manifest {
    return {
        model: "scribe",
        adapter: "",
        version: "v1",
        totalBytes: chunks * 10,
        chunks: new Array<Manifest["chunks"][number]>(chunks).fill({ bytes: 10, digest: "" }),
    };
}

function createPeer(instance: string, chunks: readonly number[], changes: Partial<PeerRow> = {}): PeerRow {
    const bitfield = createBitfield(chunkCount);
    chunks.forEach(index => {
        addChunk(bitfield, index);
    });
    return {
        instance,
        zone: "sando-hall",
        bitfield,
        heardAt: 0,
        progressedAt: 0,
        sentBytes: 0,
        corruptChunks: 0,
        failedTransfers: 0,
        avoidedUntil: 0,
        chokedUntil: 0,
        ...changes,
    };
}

interface Situation {
    readonly objective?: Objective;
    readonly peers?: readonly PeerRow[];
    readonly transfers?: readonly TransferRow[];
    readonly self?: string;
    readonly options?: Partial<DistributionOptions>;
    readonly changes?: Partial<TransferInput>;
}

function select(situation: Situation) {
    const peers = createTable<string, PeerRow>();
    situation.peers?.forEach(peer => {
        peers.set(peer.instance, peer);
    });
    const transfers = createTable<number, TransferRow>();
    situation.transfers?.forEach(row => {
        transfers.set(row.index, row);
    });
    return selectTransfers({
        manifest: createManifestOf(chunkCount),
        held: createBitfield(chunkCount),
        transfers,
        peers,
        originReaders: createOriginReaders("aa", chunkCount, members, situation.self ?? "a"),
        zone: "zone-a",
        zoneReaders: createOriginReaders("aa", chunkCount, [], situation.self ?? "a"),
        availableSince: new Map(),
        startedAt: 0,
        neighboursAnswered: true,
        objective: situation.objective ?? "origin-bytes",
        budgetBytes: Infinity,
        arrivedBytes: 0,
        arrivedAt: -Infinity,
        originAvoidedUntil: 0,
        now: 1_000,
        random: createSeededRandom(1),
        options: resolveDistributionOptions({ maximumOriginTransfers: 100, ...situation.options }),
        ...situation.changes,
    });
}

/** Describes the commands of a kind as text: chunk, peer and last resort. */
function describeCommands(situation: Situation, kind: string): string[] {
    return select(situation).filter(command => command.kind === kind).map(command => {
        const source = command.kind === "fetch-from-peer" ? command.peer : "";
        const resort = command.kind === "fetch-from-peer" && command.lastResort ? " last resort" : "";
        return `${command.index} ${source}${resort}`.trim();
    });
}

const all = [0, 1, 2, 3, 4, 5];
const oneTransfer = { maximumTransfers: 1 };

describe("choice of transfers", () => {
    const cases: readonly (readonly [string, Situation, readonly string[]])[] = [
        [
            "requests the rarest chunk first",
            { peers: [createPeer("b", all), createPeer("c", [0, 1, 2, 4, 5])], options: oneTransfer },
            ["3 b"],
        ],
        [
            "asks the holder that has sent the least",
            { peers: [createPeer("b", [2], { sentBytes: 30 }), createPeer("c", [2])], options: oneTransfer },
            ["2 c"],
        ],
        ["leaves out an avoided source", { peers: [createPeer("b", [2], { avoidedUntil: 1_001 })] }, []],
        ["leaves out a source that choked", { peers: [createPeer("b", [2], { chokedUntil: 1_001 })] }, []],
        [
            "bounds transfers from one peer",
            {
                peers: [createPeer("b", [2, 3])],
                transfers: [4, 5].map(index => ({ index, source: "b", startedAt: 0, progressedAt: 0 })),
            },
            [],
        ],
        [
            "declares the last resort when every holder has used its allowance",
            { peers: [createPeer("b", [2], { sentBytes: 66 })] },
            ["2 b last resort"],
        ],
        ["requests nothing without a budget", { peers: [createPeer("b", all)], changes: { budgetBytes: 0 } }, []],
    ];

    // Guards against requesting rare chunks last, overloading one holder and requesting chunks from a failing source.
    for (const [name, situation, expected] of cases) {
        it(name, () => {
            expect(describeCommands(situation, "fetch-from-peer").sort()).toEqual([...expected]);
        });
    }

    // Guards against a stalled transfer that keeps its chunk from being requested elsewhere.
    it("abandons transfers without progress only", () => {
        const stalled = { index: 1, source: "b", startedAt: 0, progressedAt: 0 };
        const moving = { index: 2, source: "c", startedAt: 0, progressedAt: 9_000 };
        const queued = { index: 3, source: "origin", startedAt: 0, progressedAt: 0 };
        const transfers = [stalled, moving, queued];
        expect(describeCommands({ transfers, changes: { now: 10_000 } }, "abandon")).toEqual(["1"]);
        expect(describeCommands({ transfers, changes: { now: 30_000 } }, "abandon").length).toEqual(3);
    });

    // Guards against sources that are avoided because their bytes wait on this instance's link, and against waiting for
    // them although nothing arrives, or all bytes requested before have arrived.
    it("abandons a transfer behind others only once its bytes are due or nothing arrives", () => {
        const transfers = [{ index: 1, source: "b", startedAt: 0, progressedAt: 0, turnAtBytes: 30 }];
        const cases: readonly (readonly [Partial<TransferInput>, readonly string[]])[] = [
            [{ arrivedBytes: 20, arrivedAt: 9_000 }, []],
            [{ arrivedBytes: 20, arrivedAt: 0 }, ["1"]],
            [{ arrivedBytes: 30, arrivedAt: 9_000 }, ["1"]],
        ];
        for (const [arrivals, abandoned] of cases) {
            const changes = { now: 10_000, ...arrivals };
            expect(describeCommands({ transfers, changes }, "abandon")).toEqual([...abandoned]);
        }
    });

    // Guards against more origin reads than the objective allows, and against chunks that no agent reads.
    it("bounds the origin readers of each chunk", () => {
        for (const [objective, readers] of [["origin-bytes", 1], ["time", 4]] as const) {
            fc.assert(fc.property(fc.nat(100_000), seed => {
                const counts = new Map<number, number>();
                for (const self of members) {
                    const originReaders = createOriginReaders(`${seed}`, chunkCount, members, self);
                    const commands = select({ self, objective, changes: { originReaders } });
                    for (const { index } of commands) {
                        counts.set(index, (counts.get(index) ?? 0) + 1);
                    }
                }
                expect([...counts.values()]).toEqual(new Array<number>(chunkCount).fill(readers));
            }));
        }
    });

    // Guards against a second reader while the first makes progress, and against a chunk that stays missing when its
    // reader fails.
    it("lets the next rank read once the preceding readers have made no progress", () => {
        const index = 0;
        const ranked = members.map(self => ({ self, rank: createOriginReaders("aa", chunkCount, members, self) }))
            .sort((left, right) => left.rank.rankOf(index) - right.rank.rankOf(index));
        const [first, second, third] = ranked.map(({ self }) => self) as [string, string, string];
        const readBeside = (self: string, now: number, peers: readonly PeerRow[]) =>
            describeCommands({ self, peers, changes: { now } }, "fetch-from-origin").includes("0");
        const read = (self: string, now: number, progressedAt: readonly [string, number][]) =>
            readBeside(
                self,
                now,
                progressedAt.map(([instance, time]) => createPeer(instance, [], { progressedAt: time })),
            );
        expect(read(first, 1_000, [])).toEqual(true);
        expect(read(second, 4_999, [[first, 0]])).toEqual(false);
        expect(read(second, 6_000, [[first, 2_000]])).toEqual(false);
        expect(read(second, 7_000, [[first, 2_000]])).toEqual(true);
        expect(read(second, 60_000, [])).toEqual(false);
        expect(read(third, 9_000, [[first, 0], [second, 0]])).toEqual(false);
        expect(read(third, 10_000, [[first, 0], [second, 0]])).toEqual(true);
        // A reader that gains chunks but cannot send them would otherwise keep its chunks until it has all.
        const stalled = createPeer(first, [index], { progressedAt: 4_990, avoidedUntil: 6_000 });
        expect(readBeside(second, 5_000, [stalled])).toEqual(true);
        expect(readBeside(third, 5_000, [stalled, createPeer(second, [], { progressedAt: 4_990 })])).toEqual(false);
        expect(readBeside(second, 5_000, [{ ...stalled, bitfield: createBitfield(chunkCount) }])).toEqual(false);
    });

    // Guards against agents whose requests the members of their zone refuse without end, since those have sent their share.
    it("calls a request the last resort if all holders that may be asked have used up their allowance", () => {
        const sender = { sentBytes: 1_000, zone: "zone-a" };
        const peers = [createPeer("b", all, sender), createPeer("c", all, { zone: "zone-b" })];
        const options = { maximumTransfers: 1, preferOwnZone: true };
        expect(describeCommands({ peers, options }, "fetch-from-peer").join()).toMatchRegex(/^\d b last resort$/);
    });

    // Guards against agents that know two sources, since their neighbours are in zones that they seldom read from.
    it("chooses most neighbours in the own zone if agents read from it", () => {
        const instances = Array.from({ length: 60 }, (...[, index]) => `${index % 3}/${index}`);
        const countOwn = (isPreferred?: (member: string) => boolean) =>
            selectNeighbours("aa", "0/0", instances, 8, isPreferred).filter(member => member.startsWith("0/")).length;
        expect(countOwn(member => member.startsWith("0/"))).toEqual(6);
        expect(countOwn()).toBeLessThan(6);
        const few = ["a", "b", "c"];
        expect(selectNeighbours("aa", "a", few, 8, member => member === "b").sort()).toEqual(["b", "c"]);
        expect(selectNeighbours("aa", "a", few, 8, () => true).sort()).toEqual(["b", "c"]);
    });

    // Guards against reading from the origin what a neighbour already holds, and a failing origin without a pause.
    it("reads from the origin only after the neighbours' answers, and pauses after a failure", () => {
        expect(describeCommands({ changes: { neighboursAnswered: false } }, "fetch-from-origin")).toEqual([]);
        expect(describeCommands({ changes: { originAvoidedUntil: 1_001 } }, "fetch-from-origin")).toEqual([]);
        expect(describeCommands({ peers: [createPeer("b", all)] }, "fetch-from-origin")).toEqual([]);
    });
});
