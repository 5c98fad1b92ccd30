import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";
import { ChunkPartSchema } from "../../../../src/generated/goldcrestpoint_pb.js";
import { createSeededRandom } from "../../../../src/utils/index.js";
import { createMemoryEngine, createMemoryOrigin } from "../../../support/memoryPorts.js";
import {
    type AgentOptions,
    createSampleSet,
    createSwarm,
    type Handlers,
    prepare,
    type SampleSet,
    type SwarmAgent,
} from "./swarm.js";

const first = createSampleSet("v1");
const second = createSampleSet("v2");
const sets = new Map([first, second].map(set => [set.weights.manifestDigest, set]));

function setTargets(agents: readonly SwarmAgent[], set: SampleSet, members: readonly SwarmAgent[] = agents): void {
    for (const { service } of agents) {
        service.setTarget({
            weights: set.weights,
            members: members.map(({ member }) => member),
            objective: "origin-bytes",
        });
    }
}

function isComplete({ service }: SwarmAgent): boolean {
    return service.progress()?.complete === true;
}

/** Asserts that the set counts as complete and that its staged bytes are correct. */
function expectWhole({ engine, service }: SwarmAgent, set: SampleSet): void {
    expect(service.progress()).toEqual({
        manifestDigest: set.weights.manifestDigest,
        chunksComplete: set.chunks.length,
        chunksTotal: set.chunks.length,
        complete: true,
    });
    expect(engine.staged.get(set.weights.manifestDigest)).toEqual([...set.chunks]);
}

function createDeferred(): { readonly promise: Promise<void>; readonly resolve: () => void; } {
    let resolve: () => void = () => undefined;
    const promise = new Promise<void>(settle => {
        resolve = settle;
    });
    return { promise, resolve };
}

/** Options that replace the handler of `FetchChunk`. */
function answerChunks(answer: Handlers["fetchChunk"]): Pick<AgentOptions, "replaceHandlers"> {
    return { replaceHandlers: handlers => ({ ...handlers, fetchChunk: answer }) };
}

const holderFaults: readonly (readonly [string, Handlers["fetchChunk"], string])[] = [
    [
        "sends corrupt chunks",
        call => {
            call.write(create(ChunkPartSchema, { data: new Uint8Array(1_000) }));
            call.end();
        },
        "corrupt chunk",
    ],
    [
        "truncates chunks",
        call => {
            call.write(create(ChunkPartSchema, { data: first.chunks[call.request.index]!.subarray(0, 400) }));
            call.end();
        },
        "corrupt chunk",
    ],
    [
        "sends more than a chunk",
        call => {
            call.write(create(ChunkPartSchema, { data: first.chunks[call.request.index]! }));
            call.write(create(ChunkPartSchema, { data: new Uint8Array(1_000) }));
            call.end();
        },
        "corrupt chunk",
    ],
    [
        "breaks the stream",
        call => {
            call.write(create(ChunkPartSchema, { data: first.chunks[call.request.index]!.subarray(0, 400) }));
            call.emit("error", new Error("connection lost"));
        },
        "transfer failed",
    ],
    ["never answers", () => undefined, "stalled source"],
    [
        "refuses what it reported",
        call => {
            call.write(create(ChunkPartSchema, { refusal: "not-held" }));
            call.end();
        },
        "transfer failed",
    ],
];

describe("faults during the exchange", () => {
    // Guards against a fault of one holder that prevents another agent from completing, or corrupts its set.
    for (const [name, answer, event] of holderFaults) {
        it(`completes when a holder ${name}`, async () => {
            const origin = createMemoryOrigin(sets);
            await using swarm = createSwarm();
            const options = { stallAfter: 300, originTakeoverAfter: 500, avoidSourceFor: 1_000 };
            const holder = await swarm.startAgent("holder", { origin, options, ...answerChunks(answer) });
            await prepare(holder.engine, first);
            setTargets([holder], first);
            expect(await swarm.run(() => isComplete(holder))).toEqual(true);
            const healthy = await swarm.startAgent("sound", { origin, options });
            const joining = await swarm.startAgent("joining", { origin, options });
            for (const { engine } of [healthy, joining]) {
                await prepare(engine, first);
            }
            setTargets([holder, healthy, joining], first);
            // The sound agent has no other source either: it reads from the origin once it avoids the holder.
            expect(await swarm.run(() => isComplete(healthy) && isComplete(joining), 8_000)).toEqual(true);
            for (const agent of [holder, healthy, joining]) {
                expectWhole(agent, first);
            }
            const events = [...healthy.events, ...joining.events].map(({ message }) => message);
            expect(events).toInclude(event);
        });
    }

    // Guards against corrupt, failed and repeated reads from the origin, and refusals of the engine, in any order.
    it("never counts a chunk that was not verified, whatever origin and engine do", async () => {
        await fc.assert(
            fc.asyncProperty(fc.nat(1_000), async seed => {
                const random = createSeededRandom(seed);
                const origin = createMemoryOrigin(sets, content => {
                    const choice = random.next();
                    if (choice < 0.2) {
                        return undefined;
                    }
                    return choice < 0.4 ? content.map(byte => byte ^ 1) : choice < 0.5 ? content.subarray(9) : content;
                });
                const engine = createMemoryEngine(() => random.next() > 0.1);
                await using swarm = createSwarm();
                const options = { retryFailedAfter: 10, engineReadInterval: 50, engineReadIntervalUnprepared: 20 };
                const agent = await swarm.startAgent("runner", { origin, engine, options });
                await prepare(engine, first);
                setTargets([agent], first);
                const isAgentComplete = () => {
                    const { chunksComplete } = agent.service.progress()!;
                    const staged = engine.staged.get(first.weights.manifestDigest)!;
                    expect(chunksComplete <= staged.filter(chunk => chunk !== undefined).length).toEqual(true);
                    return isComplete(agent);
                };
                expect(await swarm.run(isAgentComplete, 8_000)).toEqual(true);
                expectWhole(agent, first);
            }),
            { numRuns: 5, seed: 7 },
        );
    });

    // Guards against a chunk that is lost because the only agent that had read it stopped.
    it("completes when a holder stops during the copy", async () => {
        let reads = 0;
        const origin = createMemoryOrigin(sets, content => {
            reads++;
            return content;
        });
        await using swarm = createSwarm();
        const options = { originTakeoverAfter: 500, stallAfter: 300, exchangeTimeLimit: 300, avoidSourceFor: 1_000 };
        const agents: SwarmAgent[] = [];
        for (const instance of ["a", "b", "c", "d"]) {
            agents.push(await swarm.startAgent(instance, { origin, options }));
        }
        for (const { engine } of agents) {
            await prepare(engine, first);
        }
        setTargets(agents, first);
        await swarm.run(() => reads >= 3);
        await swarm.stopAgent(agents[0]!);
        const rest = agents.slice(1);
        expect(await swarm.run(() => rest.every(isComplete), 8_000)).toEqual(true);
        for (const agent of rest) {
            expectWhole(agent, first);
        }
    });

    // Guards against chunks of one version that are staged or counted under another.
    it("copies only the new set after a change during the copy, and serves the old one while active", async () => {
        const origin = createMemoryOrigin(sets);
        await using swarm = createSwarm();
        const agents = [await swarm.startAgent("a", { origin }), await swarm.startAgent("b", { origin })];
        for (const { engine } of agents) {
            await prepare(engine, first);
            await prepare(engine, second);
        }
        setTargets(agents, first);
        const hasBegun = () => agents.some(({ service }) => (service.progress()?.chunksComplete ?? 0) > 2);
        expect(await swarm.run(hasBegun)).toEqual(true);
        setTargets(agents, second);
        expect(agents.map(({ service }) => service.progress()?.chunksComplete)).toEqual([0, 0]);
        expect(await swarm.run(() => agents.every(isComplete))).toEqual(true);
        for (const agent of agents) {
            expectWhole(agent, second);
            await agent.engine.order({
                kind: "activate",
                token: { epoch: 1, agentStart: 1, sequence: 2 },
                ...second.weights,
            });
        }
        const readBefore = origin.reads.size;
        await swarm.run(() => false, 110);
        setTargets(agents, first);
        expect(await swarm.run(() => agents.every(isComplete))).toEqual(true);
        setTargets(agents, second);
        expect(await swarm.run(() => agents.every(isComplete))).toEqual(true);
        for (const agent of agents) {
            expectWhole(agent, second);
        }
        const readAgain = [...origin.reads].filter(([key]) => key.startsWith(second.weights.manifestDigest));
        expect(readAgain.every(([, count]) => count === 1)).toEqual(true);
        expect(origin.reads.size >= readBefore).toEqual(true);
    });

    // Guards against an agent that joins late and reads chunks from the origin although its peers have them.
    it("sends an agent that joins late the whole set without the origin", async () => {
        const origin = createMemoryOrigin(sets);
        await using swarm = createSwarm();
        const agents = [await swarm.startAgent("a", { origin }), await swarm.startAgent("b", { origin })];
        for (const { engine } of agents) {
            await prepare(engine, first);
        }
        setTargets(agents, first);
        expect(await swarm.run(() => agents.every(isComplete))).toEqual(true);
        const joining = await swarm.startAgent("c", { origin });
        await prepare(joining.engine, first);
        setTargets([...agents, joining], first);
        expect(await swarm.run(() => isComplete(joining))).toEqual(true);
        expectWhole(joining, first);
        expect(joining.service.totals()).toEqual({ originBytes: 0, peerReceivedBytes: 12_000, peerSentBytes: 0 });
        expect(agents.every(({ service }) => service.totals().peerSentBytes <= 13_200)).toEqual(true);
    });

    // Guards against chunks copied twice, or sources that are avoided, because the agent's own engine is slow.
    it("does not request a chunk again while the engine stages it", async () => {
        const origin = createMemoryOrigin(sets);
        await using swarm = createSwarm();
        const options = { stallAfter: 300, originTakeoverAfter: 60_000 };
        const holder = await swarm.startAgent("holder", { origin });
        await prepare(holder.engine, first);
        setTargets([holder], first);
        expect(await swarm.run(() => isComplete(holder))).toEqual(true);
        const engine = createMemoryEngine();
        const staging = createDeferred();
        let received = 0;
        const stageChunk: typeof engine.stageChunk = async (...chunk) => {
            received++;
            await staging.promise;
            return await engine.stageChunk(...chunk);
        };
        const slow = await swarm.startAgent("slow", { origin, engine: { ...engine, stageChunk }, options });
        await prepare(engine, first);
        setTargets([holder, slow], first);
        expect(await swarm.run(() => received > 0)).toEqual(true);
        await swarm.run(() => false, 100);
        staging.resolve();
        expect(await swarm.run(() => isComplete(slow))).toEqual(true);
        expect(slow.service.totals().peerReceivedBytes).toEqual(12_000);
        expect(slow.events.map(({ message }) => message)).not.toInclude("stalled source");
    });

    // Guards against a lapsed hold that renews the upload allowance, so that more than 2.2 copies are sent on a link.
    it("counts what was sent of a set before it was forgotten", async () => {
        const origin = createMemoryOrigin(sets);
        await using swarm = createSwarm();
        const agents: SwarmAgent[] = [];
        for (const instance of ["a", "b", "c"]) {
            const agent = await swarm.startAgent(instance, { origin });
            await prepare(agent.engine, first);
            agents.push(agent);
            setTargets(agents, first);
            expect(await swarm.run(() => agents.every(isComplete))).toEqual(true);
            agents[0]!.service.setTarget(undefined);
            setTargets(agents, first);
            expect(await swarm.run(() => agents.every(isComplete))).toEqual(true);
        }
        expect(agents[0]!.service.totals().peerSentBytes <= 13_200).toEqual(true);
    });

    // Guards against a new agent process that accepts staged chunks without verification, or copies them all again.
    it("keeps staged chunks after a restart only if their content is correct", async () => {
        const origin = createMemoryOrigin(sets);
        const engine = createMemoryEngine();
        await prepare(engine, first);
        const { manifestDigest } = first.weights;
        for (const index of [0, 1, 2, 3]) {
            await engine.stageChunk(manifestDigest, index, first.chunks[index]!);
        }
        await engine.stageChunk(manifestDigest, 4, first.chunks[5]!);
        await using swarm = createSwarm();
        const agent = await swarm.startAgent("runner", { origin, engine });
        setTargets([agent], first);
        expect(await swarm.run(() => isComplete(agent))).toEqual(true);
        expectWhole(agent, first);
        expect([...origin.reads.keys()].sort()).toEqual(
            [4, 5, 6, 7, 8, 9, 10, 11].map(index => `${manifestDigest}/${index}`).sort(),
        );
        // A restarted engine has lost its memory, so the set is no longer complete until it is staged again.
        engine.restart();
        expect(await swarm.run(() => !isComplete(agent))).toEqual(true);
        expect(agent.service.progress()?.chunksComplete).toEqual(0);
        await prepare(engine, first);
        expect(await swarm.run(() => isComplete(agent))).toEqual(true);
        expectWhole(agent, first);
    });
});
