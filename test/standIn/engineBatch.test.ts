import { expect } from "earl";
import { describe, it } from "node:test";
import { createPrefixCache } from "../../src/standIn/engine/prefixCache.js";
import { createBatch } from "../../src/standIn/execution/index.js";
import { createManualClock } from "../../src/utils/index.js";

describe("the engine's batch", () => {
    // Guards against a place that is given away twice, lost, or given to a lower priority first.
    it("admits waiting requests by priority, then by arrival, and frees each place once", async () => {
        const batch = createBatch(createManualClock(), 1, 4);
        const signal = new AbortController().signal;
        const first = await batch.enter(5, signal);
        const admitted: string[] = [];
        const canceled = new AbortController();
        const waiting = ([["a", 5, signal], ["b", 9, signal], ["c", 5, canceled.signal], ["d", 5, signal]] as const)
            .map(async ([name, priority, waitSignal]) => {
                const leave = await batch.enter(priority, waitSignal);
                if (leave !== undefined) {
                    admitted.push(name);
                    leave();
                    leave();
                }
            });
        expect([batch.isFull(), await batch.enter(9, signal)]).toEqual([true, undefined]);
        canceled.abort();
        first?.();
        await Promise.all(waiting);
        expect([admitted, batch.running, batch.queued]).toEqual([["b", "a", "d"], 0, 0]);
    });

    // Guards against routing code that is only ever tried with current load reports.
    it("reports the load with a lag", async () => {
        const clock = createManualClock();
        const batch = createBatch(clock, 4, 0);
        const leave = await batch.enter(5, new AbortController().signal);
        clock.advance(100);
        leave?.();
        expect([0, 50, 100, 101].map(age => batch.readLoad(age).running)).toEqual([0, 1, 1, 0]);
    });

    // Guards against cached values of one version that speed up, or serve, requests to another.
    it("keeps prefixes by weights and drops the least recently used one", () => {
        const cache = createPrefixCache(2);
        const touches = [["v1", "p"], ["v2", "p"], ["v1", "p"], ["v1", "q"], ["v2", "p"], ["v1", "q"]] as const;
        const hits = touches.map(([weights, prefix]) => cache.touch(weights, prefix));
        expect([hits, cache.list()]).toEqual([[false, false, true, false, false, true], ["q", "p"]]);
    });
});
