import { expect } from "earl";
import { describe, it } from "node:test";
import { createBufferCollector } from "../../../src/node/memory/index.js";
import type { BufferCollection } from "../../../src/runtime/memory/index.js";

/** Bytes after which the buffers are looked at, and `allocated` at that look. */
const cases: readonly {
    readonly name: string;
    readonly allowed?: number;
    readonly held: number;
    readonly allocated: readonly number[];
    readonly expected: readonly BufferCollection[];
}[] = [
    { name: "held buffers are left alone", held: 300, allocated: [300, 400], expected: [] },
    { name: "a major one follows only a minor one", held: 0, allocated: [101, 101, 0], expected: ["minor", "major"] },
    {
        name: "a minor one that was enough is not followed",
        held: 0,
        allocated: [101, 20, 101],
        expected: ["minor", "minor"],
    },
    {
        name: "what a major one has left is not collected again",
        held: 0,
        allocated: [150, 150, 150, 150, 240, 260],
        expected: ["minor", "major", "minor"],
    },
    { name: "without a limit, none is asked for", allowed: Infinity, held: 0, allocated: [1e12], expected: [] },
];

describe("collector of unreferenced buffers", () => {
    for (const { allocated, allowed = 100, expected, held, name } of cases) {
        // Guards against buffers that V8 leaves until they take 64 MB, and against collections in quick succession.
        it(name, () => {
            const collected: BufferCollection[] = [];
            let index = 0;
            const collector = createBufferCollector({
                allowed,
                countHeld: () => held,
                countAllocated: () => allocated[index++]!,
                collect: collection => collected.push(collection),
            });
            allocated.forEach(() => collector.recordRead(25));
            expect(collected).toEqual([...expected]);
        });
    }

    // Guards against arguments with which V8 runs a minor collection in place of a major one.
    it("releases buffers that have become old", () => {
        const countBuffers = (): number => process.memoryUsage().arrayBuffers;
        let kept: Buffer[] = [];
        const collector = createBufferCollector({ allowed: 8_000_000, countHeld: () => kept.length * 4_000_000 });
        for (let index = 0; index < 8; index++) {
            kept.push(Buffer.alloc(4_000_000));
            collector.recordRead(4_000_000);
        }
        const before = countBuffers();
        expect(kept.length).toEqual(8);
        kept = [];
        for (let index = 0; index < 16; index++) {
            collector.recordRead(1_000_000);
        }
        expect(before - countBuffers()).toBeGreaterThan(8_000_000);
    });
});
