import { expect } from "earl";
import { describe, it } from "node:test";
import { err, ok } from "true-myth/result";
import { createTransferService, createUnlimitedBudget } from "../../../../src/node/agent/transfer/index.js";
import { createWeightMemory } from "../../../../src/node/weightAgent/weightMemory.js";
import { createManifest } from "../../../../src/runtime/distribution/index.js";
import { type BackendServerPort, createError } from "../../../../src/types/index.js";
import { createSystemClock, sleep } from "../../../../src/utils/index.js";

describe("a transfer service whose set is complete", () => {
    // Guards against a new version that waits until the next read of the engine's state.
    it("starts with a new version at once", async () => {
        const chunks = [Buffer.from("a"), Buffer.from("b")];
        const memory = createWeightMemory(() => chunks.length);
        memory.import("quill@1", chunks.length, new Map(chunks.entries()));
        const reads: string[] = [];
        const unreachable = () => Promise.resolve(err(createError("ORIGIN_UNREACHABLE", "read", "origin", "closed")));
        await using service = createTransferService({
            self: "127.0.0.1",
            zone: "zone-a",
            backend: memory.port as BackendServerPort,
            origin: {
                resolveManifest: unreachable,
                readManifest: set => {
                    reads.push(set);
                    return Promise.resolve(ok(createManifest({ model: "quill", adapter: "", version: "1" }, chunks)));
                },
                readChunk: unreachable,
            },
            verifyManifest: manifest => ok(manifest),
            linkBudget: createUnlimitedBudget(),
            clock: createSystemClock(),
            random: { next: Math.random },
            options: {
                tickInterval: 10,
                engineReadInterval: 60_000,
                waitForPreparedSet: false,
                exchangeWhenComplete: false,
            },
        });
        const setTarget = (version: string): void =>
            service.setTarget({
                weights: { model: "quill", adapter: "", version, manifestDigest: `quill@${version}` },
                objective: "time",
                members: [],
                retained: new Set(["quill@1"]),
            });
        setTarget("1");
        while (service.progress()?.complete !== true) {
            await sleep(10);
        }
        await sleep(100);
        setTarget("2");
        await sleep(300);
        expect(reads).toEqual(["quill@1", "quill@2"]);
    });
});
