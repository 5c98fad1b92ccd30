import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { createLogStore } from "../../src/standIn/platform/logStore.js";
import { createManualClock } from "../../src/utils/index.js";
import { createRecord } from "../contract/support.js";

const action = fastCheck.oneof(
    fastCheck.record({ kind: fastCheck.constant("append" as const), amount: fastCheck.constant(1) }),
    fastCheck.record({ kind: fastCheck.constant("advance" as const), amount: fastCheck.integer({ min: 1, max: 60 }) }),
);

describe("the log's retention", () => {
    // Guards against a log that removes too many or too few records, or returns wrong previous offsets.
    it("keeps exactly the records within the limits on age and count, linked by their previous offsets", () => {
        const limits = { retentionMilliseconds: 100, retentionCount: 5, offsetStep: 3, appendsPerSecond: 1e9 };
        fastCheck.assert(fastCheck.property(fastCheck.array(action, { maxLength: 60 }), actions => {
            const clock = createManualClock();
            const log = createLogStore(clock, limits);
            const appended: { offset: number; at: number; }[] = [];
            for (const { kind, amount } of actions) {
                if (kind === "advance") {
                    clock.advance(amount);
                    continue;
                }
                appended.push({ offset: log.append(createRecord("a"))!, at: clock.monotonic() });
            }
            const kept = appended.filter(({ at }) => at >= clock.monotonic() - 100).slice(-5).map(row => row.offset);
            const page = log.read(0, 500);
            const headOffset = 3 * appended.length;
            expect(page.entries.map(entry => entry.offset)).toEqual(kept);
            expect(page.entries.every(entry => entry.previousOffset === entry.offset - 3)).toEqual(true);
            expect([page.headOffset, page.firstOffset]).toEqual([headOffset, kept[0] ?? headOffset + 3]);
            expect(log.read(headOffset - 3, 500).entries.length).toEqual(Math.min(1, kept.length));
        }));
    });

    // Guards against a rate limit that refuses all appends once reached, or allows larger bursts after an idle time.
    it("accepts the configured number of appends per second", () => {
        const clock = createManualClock();
        const log = createLogStore(clock, { appendsPerSecond: 10 });
        const appendMany = (): number =>
            [...Array(50).keys()].filter(() => log.append(createRecord("a")) !== undefined).length;
        const counts = [appendMany()];
        for (const pause of [500, 60_000]) {
            clock.advance(pause);
            counts.push(appendMany());
        }
        expect(counts).toEqual([10, 5, 10]);
    });
});
