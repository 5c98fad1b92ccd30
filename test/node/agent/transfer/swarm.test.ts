import { expect } from "earl";
import { describe, it } from "node:test";
import { createMemoryOrigin } from "../../../support/memoryPorts.js";
import { createSampleSet, createSwarm, prepare, type SwarmAgent } from "./swarm.js";

describe("exchange of weights", () => {
    // Guards against an exchange that never completes, copies wrong bytes, or reads too much from the origin.
    for (
        const { objective, readsPerChunk } of [
            { objective: "origin-bytes", readsPerChunk: 1 },
            { objective: "time", readsPerChunk: 4 },
        ] as const
    ) {
        it(`completes on every agent with the objective ${objective}`, async () => {
            const set = createSampleSet("v1", 40);
            const origin = createMemoryOrigin(new Map([[set.weights.manifestDigest, set]]));
            await using swarm = createSwarm();
            const agents: SwarmAgent[] = [];
            for (let number = 0; number < 8; number++) {
                agents.push(await swarm.startAgent(`runner-${number}`, { origin }));
            }
            const members = agents.map(({ member }) => member);
            for (const { engine, service } of agents) {
                await prepare(engine, set);
                service.setTarget({ weights: set.weights, members, objective });
            }
            const complete = await swarm.run(() => agents.every(({ service }) => service.progress()!.complete));
            expect(complete).toEqual(true);
            for (const { engine } of agents) {
                expect(engine.staged.get(set.weights.manifestDigest)).toEqual([...set.chunks]);
            }
            expect([...origin.reads.values()].every(count => count <= readsPerChunk)).toEqual(true);
            expect(origin.reads.size).toEqual(set.chunks.length);
        });
    }
});
