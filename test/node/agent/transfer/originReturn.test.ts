import { expect } from "earl";
import { describe, it } from "node:test";
import { err, type Result } from "true-myth/result";
import { createError, type GoldcrestpointError } from "../../../../src/types/index.js";
import { createMemoryOrigin } from "../../../support/memoryPorts.js";
import { createSampleSet, createSwarm, prepare } from "./swarm.js";

const first = createSampleSet("v1");

describe("an origin that is back", () => {
    // Guards against readers that stay away from the origin for seconds after it is back, since their delays doubled.
    it("returns to an origin that refused connections within 400 ms", async () => {
        await using swarm = createSwarm();
        const memory = createMemoryOrigin(new Map([[first.weights.manifestDigest, first]]));
        const refusal = createError("ORIGIN_UNREACHABLE", "read", "origin", "connect ECONNREFUSED", {
            cause: Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" }),
        });
        let isBack = false;
        const answered: number[] = [];
        const answer = <Value>(read: () => Promise<Result<Value, GoldcrestpointError>>) => {
            if (!isBack) {
                return Promise.resolve(err<Value, GoldcrestpointError>(refusal));
            }
            answered.push(swarm.clock.monotonic());
            return read();
        };
        const origin = {
            ...memory,
            readManifest: (digest: string) => answer(() => memory.readManifest(digest)),
            readChunk: (digest: string, index: number) => answer(() => memory.readChunk(digest, index)),
        };
        const options = { manifestReaders: 1 };
        const agents = [
            await swarm.startAgent("a", { origin, options }),
            await swarm.startAgent("b", { origin, options }),
        ];
        for (const { engine, service } of agents) {
            await prepare(engine, first);
            service.setTarget({
                weights: first.weights,
                members: agents.map(({ member }) => member),
                objective: "origin-bytes",
            });
        }
        const refuse = async () => {
            isBack = false;
            answered.length = 0;
            const until = swarm.clock.monotonic() + 6_000;
            await swarm.run(() => swarm.clock.monotonic() >= until);
            isBack = true;
            return swarm.clock.monotonic();
        };
        const manifestFrom = await refuse();
        expect(await swarm.run(() => agents.some(({ service }) => service.progress()!.chunksTotal > 0))).toEqual(true);
        expect(answered[0]! - manifestFrom).toBeLessThan(400);
        const chunksFrom = await refuse();
        expect(await swarm.run(() => agents.every(({ service }) => service.progress()!.complete))).toEqual(true);
        expect(answered[0]! - chunksFrom).toBeLessThan(400);
    });
});
