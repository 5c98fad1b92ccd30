import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createByteSemaphore } from "../../../../src/node/agent/transfer/byteSemaphore.js";

describe("semaphore for bytes in memory", () => {
    // Guards against buffers beyond the memory limit, and against waits that never end because others were cancelled.
    it("keeps to the limit and grants every wait that is not cancelled", async () => {
        const request = fc.record({ bytes: fc.integer({ min: 1, max: 15 }), cancelled: fc.boolean() });
        await fc.assert(fc.asyncProperty(fc.array(request, { maxLength: 20 }), async requests => {
            const semaphore = createByteSemaphore(10);
            const acquired: number[] = [];
            const order: number[] = [];
            const controllers = requests.map(() => new AbortController());
            const waits = requests.map(async ({ bytes }, position) => {
                const release = await semaphore.acquire(bytes, controllers[position]!.signal);
                if (release === undefined) {
                    return;
                }
                acquired.push(bytes);
                order.push(position);
                const total = acquired.reduce((sum, value) => sum + value, 0);
                expect(total <= 10 || acquired.length === 1).toEqual(true);
                await nextTurn();
                acquired.splice(acquired.indexOf(bytes), 1);
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
