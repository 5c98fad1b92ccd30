import { expect } from "earl";
import { describe, it } from "node:test";
import { createStateStore } from "../../../src/node/relay/index.js";
import { beginAfterTruncation } from "../../../src/runtime/state/index.js";
import { createEntries } from "../daemonSupport.js";

function createFilledStore(last: number) {
    const store = createStateStore();
    store.applyEntries(createEntries(1, last));
    return store;
}

describe("state store", () => {
    it("applies the records after one of another structure", () => {
        const store = createStateStore();
        const entries = createEntries(1, 3);
        const odd = { ...entries[1]!, record: { ...entries[1]!.record, copies: undefined } };
        expect(store.applyEntries([entries[0]!, odd as unknown as (typeof entries)[0], entries[2]!])).toEqual(
            "applied",
        );
        expect([store.state.appliedOffset, store.entriesAfter(0)?.length]).toEqual([3, 3]);
    });

    const batches: readonly { name: string; batches: number[][]; outcome: "applied" | "gap"; applied: number; }[] = [
        { name: "in order", batches: [[1, 2], [3]], outcome: "applied", applied: 3 },
        { name: "repeated", batches: [[1, 2, 3], [2, 3]], outcome: "applied", applied: 3 },
        { name: "overlapping", batches: [[1, 2], [1, 2, 3]], outcome: "applied", applied: 3 },
        { name: "with a gap", batches: [[1], [3]], outcome: "gap", applied: 1 },
        { name: "with a gap inside", batches: [[1, 2, 4]], outcome: "gap", applied: 2 },
        { name: "out of order", batches: [[2, 1]], outcome: "gap", applied: 0 },
    ];
    for (const { name, batches: lists, outcome, applied } of batches) {
        // Guards against records that are skipped or applied twice, and against listeners that miss an applied record.
        it(`applies records ${name} up to ${applied}`, () => {
            const store = createStateStore();
            const heard: number[] = [];
            store.onEntry(entry => heard.push(entry.offset));
            const all = createEntries(1, 4);
            const outcomes = lists.map(offsets => store.applyEntries(offsets.map(offset => all[offset - 1]!)));
            expect([outcomes.at(-1), store.state.appliedOffset]).toEqual([outcome, applied]);
            expect(heard).toEqual(all.slice(0, applied).map(({ offset }) => offset));
        });
    }

    const snapshots: readonly { name: string; applied: number; change: (text: string) => string; taken: boolean; }[] = [
        { name: "a newer one", applied: 2, change: text => text, taken: true },
        { name: "one of the same offset", applied: 5, change: text => text, taken: false },
        { name: "an older one", applied: 7, change: text => text, taken: false },
        {
            name: "one whose rows were changed",
            applied: 2,
            change: text => text.replaceAll("scribe", "other"),
            taken: false,
        },
        {
            name: "one with another offset",
            applied: 2,
            change: text => text.replace("\"appliedOffset\":5", "\"appliedOffset\":6"),
            taken: false,
        },
    ];
    for (const { name, applied, change, taken } of snapshots) {
        // Guards against a state that moves back to an older offset or that was corrupted in transit.
        it(`${taken ? "adopts" : "rejects"} ${name}`, () => {
            const store = createFilledStore(applied);
            const snapshot = JSON.stringify(createFilledStore(5).takeSnapshot());
            expect(store.adoptSnapshot(JSON.parse(change(snapshot)) as never)).toEqual(taken);
            expect(store.state.appliedOffset).toEqual(taken ? 5 : applied);
        });
    }

    // Guards against followers that are sent records which they cannot apply because the log has lost earlier ones.
    it("sends a snapshot to followers that lack lost records", () => {
        for (const known of [0, 3]) {
            const store = createFilledStore(known);
            beginAfterTruncation(store.state, 8);
            expect(store.applyEntries(createEntries(8, 10))).toEqual("applied");
            expect(store.entriesAfter(known)).toEqual(undefined);
            const follower = createFilledStore(known);
            expect(follower.adoptSnapshot(store.takeSnapshot())).toEqual(true);
            expect(store.entriesAfter(8)?.map(({ offset }) => offset)).toEqual([9, 10]);
        }
    });

    // Guards against memory use that grows with the log, and against a lagging follower that gets no snapshot.
    it("keeps a bounded number of records", () => {
        const store = createFilledStore(2_100);
        expect(store.entriesAfter(99)).toEqual(undefined);
        expect(store.entriesAfter(100)?.length).toEqual(2_000);
    });

    // Guards against a late response that makes the state look older than it is.
    it("never moves back the time at which the state was complete", () => {
        const store = createStateStore();
        expect(store.ready).toEqual(false);
        store.recordLogKnown(100);
        store.recordLogKnown(50);
        expect([store.ready, store.logKnownAt]).toEqual([true, 100]);
    });
});
