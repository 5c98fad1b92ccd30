import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseEnded, computeHeldThresholds, decideRefusing, type HeldRow } from "../../../src/runtime/memory/index.js";

const now = 10_000;
const row = (stage: HeldRow["stage"], bytes: number, age: number): HeldRow => ({ stage, bytes, since: now - age });

describe("choice of what is ended at the memory limit", () => {
    const large = row("unread", 4_000_000, 10);
    const old = row("unread", 400_000, 3_000);
    const arriving = row("arriving", 1_000_000, 2_000);
    const cases = [
        { name: "the oldest of equal size", rows: [row("unread", 100, 10), row("unread", 100, 20)], chosen: 1 },
        { name: "the largest of equal age", rows: [row("arriving", 100, 10), row("arriving", 200, 10)], chosen: 1 },
        { name: "the highest product of bytes and time", rows: [large, old, arriving], chosen: 2 },
        { name: "one that has just begun", rows: [row("arriving", 100, 0)], chosen: 0 },
        { name: "only one that has lasted", rows: [row("unread", 9_000_000, 1_999), arriving], age: 2_000, chosen: 1 },
        // Guards against the loss of requests that run, whose callers cannot tell whether they had an effect.
        { name: "none that runs", rows: [row("running", 9_000_000, 9_000)], chosen: undefined },
        { name: "none without bytes", rows: [row("unread", 0, 9_000)], chosen: undefined },
    ];
    for (const { age, chosen, name, rows } of cases) {
        it(`is ${name}`, () => {
            expect(chooseEnded(rows, now, age)).toEqual(chosen === undefined ? undefined : rows[chosen]);
        });
    }
});

describe("refusals at the memory limit", () => {
    const thresholds = computeHeldThresholds(1_000);
    // Guards against a gateway that alternates between refusing and accepting with each request.
    it("begin at one number of bytes and end below a lower one", () => {
        const states = [749, 750, 700, 650, 649, 700].reduce<boolean[]>(
            (previous, bytes) => [...previous, decideRefusing(previous.at(-1) ?? false, bytes, thresholds)],
            [],
        );
        expect(states).toEqual([false, true, true, true, false, false]);
    });

    it("never begin without a limit", () => {
        expect(decideRefusing(false, 1e15, computeHeldThresholds(Infinity))).toEqual(false);
    });
});
