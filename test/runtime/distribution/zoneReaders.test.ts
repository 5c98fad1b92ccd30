import { expect } from "earl";
import { describe, it } from "node:test";
import {
    countZoneReaders,
    createBitfield,
    mayReadFromOtherZones,
    type PeerRow,
    resolveDistributionOptions,
} from "../../../src/runtime/distribution/index.js";
import { createTable } from "../../../src/utils/index.js";

const options = resolveDistributionOptions({ zoneTakeoverAfter: 1_000 });

function createPeer(instance: string, progressedAt: number): PeerRow {
    return {
        instance,
        zone: "sando-hall",
        bitfield: createBitfield(1),
        heardAt: 0,
        progressedAt,
        sentBytes: 0,
        corruptChunks: 0,
        failedTransfers: 0,
        avoidedUntil: 0,
        chokedUntil: 0,
    };
}

interface Situation {
    readonly precedingReaders: readonly string[];
    readonly progressedAt?: Readonly<Record<string, number>>;
    readonly now: number;
}

/** Decides on a read of a chunk that became available at 5,000 ms. */
function mayRead({ precedingReaders, progressedAt = {}, now }: Situation): boolean {
    const peers = createTable<string, PeerRow>();
    for (const [instance, at] of Object.entries(progressedAt)) {
        peers.set(instance, createPeer(instance, at));
    }
    return mayReadFromOtherZones({ precedingReaders, peers, availableSince: 5_000, now, options });
}

describe("reads from other availability zones", () => {
    const cases: readonly (readonly [string, Situation, boolean])[] = [
        ["are allowed to the first reader immediately", { precedingReaders: [], now: 5_000 }, true],
        [
            "leave the first reader its time from when the chunk became available",
            { precedingReaders: ["b"], now: 5_999 },
            false,
        ],
        ["pass to the next reader after that time", { precedingReaders: ["b"], now: 6_000 }, true],
        ["give each reader its own time", { precedingReaders: ["b", "c"], now: 6_999 }, false],
        [
            "wait for a reader that gains chunks",
            { precedingReaders: ["b"], progressedAt: { b: 5_900 }, now: 6_800 },
            false,
        ],
        [
            "do not wait forever for a reader that gains other chunks",
            { precedingReaders: ["b"], progressedAt: { b: 6_990 }, now: 7_000 },
            true,
        ],
        ["ignore progress from before the chunk became available", {
            precedingReaders: ["b"],
            progressedAt: { b: 1_000 },
            now: 6_000,
        }, true],
    ];
    for (const [name, situation, expected] of cases) {
        it(name, () => {
            expect(mayRead(situation)).toEqual(expected);
        });
    }

    // Guards against small zones whose members take the uplinks of the first holders from each other, and against large
    // ones that wait for one reader.
    it("are allowed to a quarter of the zone's members, within a limit", () => {
        const countReaders = (members: number) =>
            countZoneReaders(members, resolveDistributionOptions({ maximumZoneReaders: 4 }));
        expect([1, 5, 8, 15, 16, 143].map(countReaders)).toEqual([1, 1, 2, 3, 4, 4]);
        expect(countZoneReaders(143, options)).toEqual(1);
    });
});
