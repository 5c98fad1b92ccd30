import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { describe, it } from "node:test";
import { err, ok } from "true-myth/result";
import { AvailabilityResponseSchema } from "../../../../src/generated/goldcrestpoint_pb.js";
import { createTransferService, createUnlimitedBudget } from "../../../../src/node/agent/transfer/index.js";
import { createWeightMemory } from "../../../../src/node/weightAgent/weightMemory.js";
import { createManifest, rankManifestReader } from "../../../../src/runtime/distribution/index.js";
import { type BackendServerPort, createError, type Manifest, type OriginPort } from "../../../../src/types/index.js";
import { createManualClock, createSeededRandom } from "../../../../src/utils/index.js";
import { createMemoryOrigin } from "../../../support/memoryPorts.js";
import { createMemoryNetwork } from "./memoryCalls.js";
import { createSampleSet } from "./swarm.js";

type Read = (agent: string, version: string, signal: AbortSignal | undefined) => ReturnType<OriginPort["readManifest"]>;

const takeoverAfter = 600;
const readers = 3;
const chunkCount = 12;
const refused = () => Promise.resolve(err(createError("ORIGIN_UNREACHABLE", "read manifest", "origin", "status 503")));

/** Read of an origin that accepts the connection and sends nothing. */
function stall(signal: AbortSignal | undefined): ReturnType<typeof refused> {
    return new Promise(resolve => {
        signal?.addEventListener("abort", () => void refused().then(resolve));
    });
}

function nameSet(version: string): string {
    return `scribe@${version}`;
}

function createInstances(count: number): string[] {
    return Array.from({ length: count }, (...[, index]) => `agent-${index}`);
}

function readSample(version: string): Manifest {
    return createSampleSet(version, chunkCount).manifest;
}

function rankReaders(instances: readonly string[], version: string): string[] {
    const rank = (self: string) =>
        rankManifestReader({
            manifestDigest: nameSet(version),
            self,
            members: instances,
            olderMembers: new Set(),
            forwardingMembers: new Set(),
            isNear: () => false,
        });
    return [...instances].sort((left, right) => rank(left) - rank(right));
}

/** Creates agents that name sets by version and reach each other without a network. */
function createAgents(instances: readonly string[], read: Read, older: ReadonlySet<string> = new Set()) {
    const clock = createManualClock();
    const network = createMemoryNetwork();
    const reads: { readonly agent: string; readonly version: string; readonly at: number; }[] = [];
    const events: { readonly agent: string; readonly message: string; readonly fields: object; }[] = [];
    const members = instances.map(instance => ({ instance, zone: "sando-hall", address: instance }));
    const sets = new Map(["1", "2", "3"].map(version => [nameSet(version), createSampleSet(version, chunkCount)]));
    const services = instances.map((self, seed) => {
        const memory = createMemoryOrigin(sets);
        const service = createTransferService({
            self,
            zone: "sando-hall",
            backend: createWeightMemory(() => chunkCount).port as BackendServerPort,
            origin: {
                ...memory,
                readManifest: (set, signal) => {
                    const version = set.split("@")[1]!;
                    reads.push({ agent: self, version, at: clock.monotonic() });
                    return read(self, version, signal);
                },
            },
            verifyManifest: manifest => ok(manifest),
            linkBudget: createUnlimitedBudget(),
            clock,
            random: createSeededRandom(seed + 1),
            options: {
                selfScheduled: false,
                waitForPreparedSet: false,
                ...(older.has(self) ? {} : { manifestReaders: readers }),
                manifestTakeoverAfter: takeoverAfter,
            },
            calls: network.create(),
            log: { info: (fields, message) => events.push({ agent: self, message, fields }) },
        });
        network.handlers.set(
            self,
            older.has(self) ?
                {
                    fetchChunk: service.fetchChunk,
                    exchangeAvailability: (call, callback) => {
                        const request = { ...call.request, manifest: undefined, wantsManifest: undefined };
                        const received = { ...call, request } as typeof call;
                        service.exchangeAvailability(received, (error, answer) => {
                            const { bitfield, holdsSet, sentBytes } = answer!;
                            callback(error, create(AvailabilityResponseSchema, { bitfield, holdsSet, sentBytes }));
                        });
                    },
                } :
                service,
        );
        return { self, service };
    });

    function setTarget(version: string, chosen = services): void {
        for (const { service } of chosen) {
            service.setTarget({
                weights: { model: "scribe", adapter: "", version, manifestDigest: nameSet(version) },
                members,
                objective: "origin-bytes",
            });
        }
    }

    /** Ticks all agents; returns the milliseconds until the condition holds, or undefined after the limit. */
    async function run(condition: () => boolean, limit: number): Promise<number | undefined> {
        const startedAt = clock.monotonic();
        while (clock.monotonic() - startedAt < limit) {
            services.forEach(({ service }) => service.tick());
            for (let turn = 0; turn < 8; turn++) {
                await new Promise(resolve => void setImmediate(resolve));
            }
            if (condition()) {
                return clock.monotonic() - startedAt;
            }
            clock.advance(50);
        }
        return undefined;
    }

    const knows = ({ service }: typeof services[number]) => (service.progress()?.chunksTotal ?? 0) > 0;
    return {
        clock,
        network,
        services,
        reads,
        events,
        setTarget,
        run,
        knows,
        isComplete: ({ service }: typeof services[number]) => service.progress()?.complete === true,
        [Symbol.asyncDispose]: async () => {
            await Promise.all(services.map(({ service }) => service[Symbol.asyncDispose]()));
        },
    };
}

describe("the manifest of a set that is named by its version", () => {
    // Guards against reads of all agents that block each other at an origin which accepts a few dozen connections.
    for (const count of [2, 8, 60, 430]) {
        it(`reaches ${count} agents within a second by the reads of ${Math.min(readers, count)}`, async () => {
            const instances = createInstances(count);
            await using agents = createAgents(instances, (...[, version]) => Promise.resolve(ok(readSample(version))));
            agents.setTarget("2");
            const time = await agents.run(() => agents.services.every(agents.knows), 2_000);
            expect(time! <= 1_000).toEqual(true);
            expect(agents.reads.map(({ agent }) => agent).sort()).toEqual(
                rankReaders(instances, "2").slice(0, readers).sort(),
            );
        });
    }

    // Guards against a manifest that never arrives because the chosen readers are gone or wait for a silent origin.
    it("is read by the next rank after a takeover time if the chosen readers get no answer", async () => {
        const instances = createInstances(24);
        const ranked = rankReaders(instances, "2");
        await using agents = createAgents(instances, (agent, version, signal) =>
            ranked.indexOf(agent) < readers ?
                stall(signal) :
                Promise.resolve(ok(readSample(version))));
        agents.setTarget("2");
        const time = await agents.run(() => agents.services.every(agents.knows), 5_000);
        expect(time! >= takeoverAfter && time! <= 2 * takeoverAfter + 400).toEqual(true);
        expect(agents.reads.length <= readers + 2).toEqual(true);
    });

    // Guards against a reader that dies with the manifest, or is partitioned from the others.
    it("is read by the next rank if the chosen readers cannot be reached", async () => {
        const instances = createInstances(24);
        const ranked = rankReaders(instances, "2");
        await using agents = createAgents(instances, (...[, version]) => Promise.resolve(ok(readSample(version))));
        const [dead, alive] = [ranked.slice(0, readers), ranked.slice(readers)];
        dead.forEach(instance => agents.network.handlers.delete(instance));
        const running = agents.services.filter(({ self }) => alive.includes(self));
        agents.setTarget("2", running);
        const time = await agents.run(() => running.every(agents.knows), 5_000);
        expect(time! <= 2 * takeoverAfter + 400).toEqual(true);
        expect(agents.reads[0]!.agent).toEqual(alive[0]!);
    });

    // Guards against agents that flood an origin that refuses connections, and against giving up.
    it("is read at a bounded rate while the origin refuses, and soon after it recovers", async () => {
        let isRefusing = true;
        await using agents = createAgents(
            createInstances(60),
            (...[, version]) => isRefusing ? refused() : Promise.resolve(ok(readSample(version))),
        );
        agents.setTarget("2");
        await agents.run(() => false, 1_800);
        // Three readers with delays that double from 250 ms, and two takeovers.
        expect(agents.reads.length <= 20).toEqual(true);
        expect(
            agents.events.some(({ fields, message }) =>
                message === "manifest read failed" && JSON.stringify(fields).includes("status 503")
            ),
        ).toEqual(true);
        isRefusing = false;
        expect((await agents.run(() => agents.services.every(agents.knows), 5_000))! <= 1_500).toEqual(true);
    });

    // Guards against waiting for agents that never forward the manifest.
    it("is received beside agents of an older build, and read by those that have only such neighbours", async () => {
        const instances = createInstances(24);
        const ranked = rankReaders(instances, "2");
        const older = new Set(ranked.slice(0, 16));
        await using agents = createAgents(
            instances,
            (...[, version]) => Promise.resolve(ok(readSample(version))),
            older,
        );
        agents.setTarget("2");
        expect((await agents.run(() => agents.services.every(agents.knows), 5_000))! <= 3 * takeoverAfter).toEqual(
            true,
        );
        expect((await agents.run(() => agents.services.every(agents.isComplete), 20_000)) !== undefined).toEqual(true);
    });

    // Guards against a set that never becomes complete, since its chunks are compared with wrong digests.
    it("is dropped and obtained again if a peer forwarded a wrong one", async () => {
        const instances = createInstances(12);
        const ranked = rankReaders(instances, "2");
        const chunks = createSampleSet("2", chunkCount).chunks.map((chunk, index) =>
            index === 4 ? Uint8Array.from(chunk).fill(7) : chunk
        );
        const wrong = createManifest({ model: "scribe", adapter: "", version: "2" }, chunks);
        let wrongReads = 0;
        await using agents = createAgents(instances, (agent, version) => {
            // The best rank is wrong; the two that read with it come too late to warn anyone.
            const isWrong = agent === ranked[0] && wrongReads++ === 0;
            return isWrong ? Promise.resolve(ok(wrong)) : refusedUntilDropped(version);
        });
        function refusedUntilDropped(version: string) {
            return agents.events.some(({ message }) => message === "manifest contradicted by chunks") ?
                Promise.resolve(ok(readSample(version))) :
                refused();
        }
        agents.setTarget("2");
        const others = agents.services.filter(({ self }) => self !== ranked[0]);
        expect((await agents.run(() => others.every(agents.isComplete), 60_000)) !== undefined).toEqual(true);
        const dropped = agents.events.filter(({ message }) => message === "manifest contradicted by chunks");
        expect(dropped.length > 0).toEqual(true);
        expect(dropped.every(({ fields }) => (fields as { reader: string; }).reader === ranked[0])).toEqual(true);
    });

    // Guards against a manifest of an abandoned version that delays the next one or replaces it.
    it("of a newer version does not wait for that of an older one", async () => {
        const signals: (AbortSignal | undefined)[] = [];
        await using agents = createAgents(createInstances(24), (...[, version, signal]) => {
            if (version === "3") {
                return Promise.resolve(ok(readSample(version)));
            }
            signals.push(signal);
            return stall(signal);
        });
        agents.setTarget("2");
        await agents.run(() => false, 300);
        agents.setTarget("3");
        expect(signals.map(signal => signal?.aborted)).toEqual([true, true, true]);
        expect((await agents.run(() => agents.services.every(agents.knows), 2_000))! <= 1_000).toEqual(true);
        expect(agents.services.every(({ service }) => service.progress()?.manifestDigest === nameSet("3")))
            .toEqual(true);
        expect((await agents.run(() => agents.services.every(agents.isComplete), 20_000)) !== undefined).toEqual(true);
    });
});
