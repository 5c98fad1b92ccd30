import { expect } from "earl";
import { describe, it } from "node:test";
import { createHeldMemory } from "../../../src/node/memory/index.js";
import { createManualClock } from "../../../src/utils/index.js";

function createMemory() {
    const clock = createManualClock();
    const ended: string[] = [];
    const memory = createHeldMemory({
        limit: 1_000,
        answerLimit: 500,
        clock,
        onEnded: ({ bytes, stage }) => ended.push(`${stage} ${bytes}`),
    });
    return { clock, ended, memory };
}

describe("limit on the bytes that a gateway holds", () => {
    it("counts all bytes of a request until it is closed", () => {
        const { memory } = createMemory();
        const held = memory.hold(() => {});
        held.add(100);
        const answer = held.open(() => {});
        answer.add(50);
        held.setBytes(20);
        expect(memory.total()).toEqual(70);
        held.close();
        answer.add(5);
        answer.close();
        held.add(5);
        expect(memory.total()).toEqual(0);
    });

    it("ends the request that arrives with the most bytes, and spares those that run", () => {
        const { ended, memory } = createMemory();
        const running = memory.hold(() => ended.push("running"));
        running.add(600);
        running.run();
        const arriving = memory.hold(() => ended.push("refused"));
        arriving.add(401);
        expect(ended).toEqual(["arriving 401", "refused"]);
        expect(memory.total()).toEqual(600);
    });

    // Guards against a stream that another backend server continues for a caller that does not read.
    it("ends the caller instead of the answer that is held because the caller does not read", () => {
        const { ended, memory } = createMemory();
        const held = memory.hold(() => ended.push("caller"));
        held.run();
        const answer = held.open(() => ended.push("answer"));
        held.block();
        answer.add(501);
        expect(ended).toEqual(["unread 501", "caller"]);
        expect(memory.total()).toEqual(0);
    });

    it("ends the largest answer that is being read", () => {
        const { ended, memory } = createMemory();
        const [small, large] = [200, 301].map(bytes => {
            const held = memory.hold(() => {});
            held.run();
            const answer = held.open(() => ended.push(`evicted ${bytes}`));
            answer.add(bytes);
            return answer;
        });
        expect(ended).toEqual(["answer 301", "evicted 301"]);
        large!.add(10);
        small!.close();
        expect(memory.total()).toEqual(0);
    });

    it("pauses and resumes the reading of bodies", async () => {
        const { memory } = createMemory();
        const held = memory.hold(() => {});
        held.add(899);
        expect(memory.awaitRoom()).toEqual(undefined);
        held.add(1);
        let isResumed = false;
        const room = memory.awaitRoom()!.then(() => {
            isResumed = true;
        });
        await Promise.resolve();
        expect(isResumed).toEqual(false);
        held.add(-1);
        await room;
        expect(isResumed).toEqual(true);
    });

    // Guards against a gateway that refuses everything for as long as a few callers do not read their answers.
    it("ends what is stalled while new requests are refused", () => {
        const { clock, ended, memory } = createMemory();
        const held = memory.hold(() => ended.push("caller"));
        held.block();
        held.add(750);
        expect(memory.isRefusing()).toEqual(true);
        memory.check();
        expect(ended).toEqual([]);
        clock.advance(2_000);
        memory.check();
        expect(ended).toEqual(["unread 750", "caller"]);
        expect(memory.isRefusing()).toEqual(false);
    });
});
