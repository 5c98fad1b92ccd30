import { expect } from "earl";
import { describe, it } from "node:test";
import { createStateStore } from "../../../src/node/relay/index.js";
import type { LogEntry } from "../../../src/types/index.js";

function createEntry(offset: number, copies: number): LogEntry {
    return {
        offset,
        previousOffset: offset - 1,
        record: {
            id: `record-${offset}`,
            kind: "placement",
            deployment: "scribe",
            base: offset - 1,
            writtenAt: "2026-12-03T00:00:00.000Z",
            writer: "entry-0",
            configurationOffset: 1,
            copies: [...Array(copies).keys()].map(index => ({
                instance: `runner-${index}`,
                zone: "zone-a",
                epoch: 0,
                weights: undefined,
                state: "assigned",
                witnesses: [],
            })),
            owners: [],
        },
    };
}

describe("recent entries kept for followers", () => {
    // Guards against memory use that grows with the size of placements, and against followers that are sent only some
    // of the records they lack: a follower that lags behind the kept entries needs a snapshot.
    for (
        const { copies, kept } of [{ copies: 0, kept: 2_000 }, { copies: 430, kept: 46 }, { copies: 3_200, kept: 16 }]
    ) {
        it(`are the newest ${kept} for records of ${copies} copies`, () => {
            const store = createStateStore();
            const total = kept + 30;
            for (let offset = 1; offset <= total; offset++) {
                store.applyEntries([createEntry(offset, copies)]);
            }
            expect(store.entriesAfter(total - kept)?.map(({ offset }) => offset))
                .toEqual([...Array(kept).keys()].map(index => total - kept + index + 1));
            expect(store.entriesAfter(total - kept - 1)).toEqual(undefined);
        });
    }
});
