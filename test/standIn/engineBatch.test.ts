import { expect } from "earl";
import { describe, it } from "node:test";
import { createPrefixCache } from "../../src/standIn/engine/prefixCache.js";
import { createBatch } from "../../src/standIn/execution/index.js";
import { createManualClock } from "../../src/utils/index.js";

describe("the engine's batch", () => {
    // Guards against a slot that is assigned twice, is never released, or goes to a request with a lower priority first.
    it("admits waiting requests by priority, then by arrival, and releases each slot once", async () => {
        const batch = createBatch(createManualClock(), 1, 4);
        const signal = new AbortController().signal;
        const releaseFirst = await batch.acquireSlot(5, signal);
        const admitted: string[] = [];
        const canceled = new AbortController();
        const waiting = ([["a", 5, signal], ["b", 9, signal], ["c", 5, canceled.signal], ["d", 5, signal]] as const)
            .map(async ([name, priority, waitSignal]) => {
                const releaseSlot = await batch.acquireSlot(priority, waitSignal);
                if (releaseSlot !== undefined) {
                    admitted.push(name);
                    releaseSlot();
                    releaseSlot();
                }
            });
        expect([batch.isFull(), await batch.acquireSlot(9, signal)]).toEqual([true, undefined]);
        canceled.abort();
        releaseFirst?.();
        await Promise.all(waiting);
        expect([admitted, batch.running, batch.queued]).toEqual([["b", "a", "d"], 0, 0]);
    });

    // Guards against tests of the routing that unintentionally run with current load reports only.
    it("reports the load with a lag", async () => {
        const clock = createManualClock();
        const batch = createBatch(clock, 4, 0);
        const releaseSlot = await batch.acquireSlot(5, new AbortController().signal);
        clock.advance(100);
        releaseSlot?.();
        expect([0, 50, 100, 101].map(age => batch.readLoad(age).running)).toEqual([0, 1, 1, 0]);
    });

    // Guards against prefixes that were cached for one version of the weights and are used for requests to another.
    it("caches prefixes separately for each set of weights, and evicts the least recently used one", () => {
        const cache = createPrefixCache(2);
        const touches = [["v1", "p"], ["v2", "p"], ["v1", "p"], ["v1", "q"], ["v2", "p"], ["v1", "q"]] as const;
        const hits = touches.map(([weights, prefix]) => cache.touch(weights, prefix));
        expect([hits, cache.list()]).toEqual([[false, false, true, false, false, true], ["q", "p"]]);
    });
});
