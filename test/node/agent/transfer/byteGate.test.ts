import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createByteGate } from "../../../../src/node/agent/transfer/byteGate.js";

describe("bound on bytes in memory", () => {
    // Guards against buffers beyond the agent's memory, and against a wait that never ends after cancelled ones.
    it("keeps the bound and lets every wait that is not cancelled through", async () => {
        const request = fc.record({ bytes: fc.integer({ min: 1, max: 15 }), cancelled: fc.boolean() });
        await fc.assert(fc.asyncProperty(fc.array(request, { maxLength: 20 }), async requests => {
            const gate = createByteGate(10);
            const kept: number[] = [];
            const order: number[] = [];
            const controllers = requests.map(() => new AbortController());
            const waits = requests.map(async ({ bytes }, position) => {
                const release = await gate.acquire(bytes, controllers[position]!.signal);
                if (release === undefined) {
                    return;
                }
                kept.push(bytes);
                order.push(position);
                const total = kept.reduce((sum, value) => sum + value, 0);
                expect(total <= 10 || kept.length === 1).toEqual(true);
                await nextTurn();
                kept.splice(kept.indexOf(bytes), 1);
                release();
            });
            requests.forEach(({ cancelled }, position) => {
                if (cancelled) {
                    controllers[position]!.abort();
                }
            });
            await Promise.all(waits);
            expect(order).toEqual([...order].sort((left, right) => left - right));
            const uncancelled = requests.flatMap(({ cancelled }, position) => cancelled ? [] : [position]);
            expect(uncancelled.every(position => order.includes(position))).toEqual(true);
        }));
    });
});
