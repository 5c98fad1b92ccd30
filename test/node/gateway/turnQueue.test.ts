import { expect } from "earl";
import { describe, it } from "node:test";
import { createTurnQueue } from "../../../src/node/gateway/turnQueue.js";

function nextTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

describe("queue of requests that wait for a poll", () => {
    it("keeps the order of the requests", async () => {
        const turns = createTurnQueue();
        const released: number[] = [];
        const numbers = [...Array(100).keys()];
        await Promise.all(numbers.map(async number => {
            await turns.awaitPoll();
            released.push(number);
        }));
        expect(released).toEqual(numbers);
    });

    it("releases nothing in the turn in which it arrived, and a bounded number in each later one", async () => {
        const turns = createTurnQueue();
        let released = 0;
        for (let index = 0; index < 100; index++) {
            void turns.awaitPoll().then(() => {
                released++;
            });
        }
        const counts: number[] = [];
        while (released < 100) {
            const before = released;
            await nextTurn();
            counts.push(released - before);
        }
        expect(counts[0]).toEqual(0);
        expect(Math.max(...counts) <= 16).toEqual(true);
    });

    it("releases a request that arrives after the queue was empty", async () => {
        const turns = createTurnQueue();
        await turns.awaitPoll();
        await nextTurn();
        await nextTurn();
        await turns.awaitPoll();
    });
});
