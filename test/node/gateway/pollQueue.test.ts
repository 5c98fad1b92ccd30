import { expect } from "earl";
import { describe, it } from "node:test";
import { createPollQueue } from "../../../src/node/gateway/callers/pollQueue.js";

function nextIteration(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

describe("queue of requests that wait for a poll", () => {
    it("keeps the order of the requests", async () => {
        const queue = createPollQueue();
        const released: number[] = [];
        const numbers = [...Array(100).keys()];
        await Promise.all(numbers.map(async number => {
            await queue.awaitPoll();
            released.push(number);
        }));
        expect(released).toEqual(numbers);
    });

    it("releases no request in the iteration in which it arrived, and a limited number in each later one", async () => {
        const queue = createPollQueue();
        let released = 0;
        for (let index = 0; index < 100; index++) {
            void queue.awaitPoll().then(() => {
                released++;
            });
        }
        const counts: number[] = [];
        while (released < 100) {
            const before = released;
            await nextIteration();
            counts.push(released - before);
        }
        expect(counts[0]).toEqual(0);
        expect(Math.max(...counts) <= 16).toEqual(true);
    });

    it("releases a request that arrives after the queue was empty", async () => {
        const queue = createPollQueue();
        await queue.awaitPoll();
        await nextIteration();
        await nextIteration();
        await queue.awaitPoll();
    });
});
