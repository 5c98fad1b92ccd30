import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createBitfield,
    mayReadAcross,
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
    readonly readersBefore: readonly string[];
    readonly progressedAt?: Readonly<Record<string, number>>;
    readonly now: number;
}

/** The chunk can be read since second 5. */
function mayRead({ readersBefore, progressedAt = {}, now }: Situation): boolean {
    const peers = createTable<string, PeerRow>();
    for (const [instance, at] of Object.entries(progressedAt)) {
        peers.set(instance, createPeer(instance, at));
    }
    return mayReadAcross({ readersBefore, peers, availableSince: 5_000, now, options });
}

describe("reads across the border of an availability zone", () => {
    const cases: readonly (readonly [string, Situation, boolean])[] = [
        ["are the first reader's at once", { readersBefore: [], now: 5_000 }, true],
        [
            "leave the first reader its time from when the chunk can be read",
            { readersBefore: ["b"], now: 5_999 },
            false,
        ],
        ["pass to the next reader after that time", { readersBefore: ["b"], now: 6_000 }, true],
        ["give each reader a turn of its own", { readersBefore: ["b", "c"], now: 6_999 }, false],
        [
            "wait for a reader that gains chunks",
            { readersBefore: ["b"], progressedAt: { b: 5_900 }, now: 6_800 },
            false,
        ],
        [
            "do not wait for a slow reader forever",
            { readersBefore: ["b"], progressedAt: { b: 6_990 }, now: 7_000 },
            true,
        ],
        ["ignore progress from before the chunk could be read", {
            readersBefore: ["b"],
            progressedAt: { b: 1_000 },
            now: 6_000,
        }, true],
    ];
    for (const [name, situation, expected] of cases) {
        it(name, () => {
            expect(mayRead(situation)).toEqual(expected);
        });
    }
});
