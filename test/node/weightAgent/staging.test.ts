import { expect } from "earl";
import { createHash } from "node:crypto";
import { describe, it } from "node:test";
import { pino } from "pino";
import { ok } from "true-myth/result";
import { createEarlyStager } from "../../../src/node/weightAgent/earlyStager.js";
import { stageWeights } from "../../../src/node/weightAgent/stageWeights.js";
import type { EngineControlPort, Manifest } from "../../../src/types/index.js";

const logger = pino({ level: "silent" });

function createContent(version: string, index: number): Uint8Array {
    return Buffer.from(`${version}/${index}`);
}

function createManifest(version: string, chunks: number): Manifest {
    const contents = [...Array(chunks).keys()].map(index => createContent(version, index));
    return {
        model: "scribe",
        adapter: "",
        version,
        totalBytes: contents.reduce((sum, { length }) => sum + length, 0),
        chunks: contents.map(content => ({
            bytes: content.length,
            digest: createHash("sha256").update(content).digest("hex"),
        })),
    };
}

/** Engine that only stages chunks, one for each position, and records the writes. */
function createStage(): EngineControlPort & { readonly staged: Map<number, Uint8Array>; readonly writes: number[]; } {
    const staged = new Map<number, Uint8Array>();
    const writes: number[] = [];
    const unused = () => Promise.reject(new Error("not expected in this test"));
    return {
        staged,
        writes,
        readReport: unused,
        load: unused,
        unload: unused,
        listStaged: () => Promise.resolve(ok([...staged.keys()])),
        readStaged: (...[, index]) => Promise.resolve(ok(staged.get(index))),
        stage: (...[, index, content]) => {
            staged.set(index, content);
            writes.push(index);
            return Promise.resolve(ok(undefined));
        },
    };
}

describe("staging ahead of a load", () => {
    it("stages each received chunk once, and leaves nothing for the load to write", async () => {
        const engine = createStage();
        const manifest = createManifest("2", 4);
        const arrived = new Set([2]);
        const read = (index: number) => arrived.has(index) ? createContent("2", index) : undefined;
        const earlyStager = createEarlyStager({ engine, logger, readSet: () => ({ manifest, read }) });
        await earlyStager.run();
        expect(engine.writes).toEqual([2]);
        [0, 1, 3].forEach(index => arrived.add(index));
        await earlyStager.run();
        expect(engine.writes).toEqual([2, 0, 1, 3]);
        const loaded = await stageWeights(engine, manifest, read);
        expect(loaded.unwrapOr(undefined as never)).toEqual({ written: 0, rounds: 1 });
    });

    it("stops as soon as the staging area is needed for another set", async () => {
        const engine = createStage();
        const manifest = createManifest("3", 4);
        const earlyStager = createEarlyStager({
            engine,
            logger,
            readSet: () =>
                engine.writes.length < 2 ? { manifest, read: index => createContent("3", index) } : undefined,
        });
        await earlyStager.run();
        expect(engine.writes.length).toEqual(2);
    });

    it("starts over with a set that replaces another", async () => {
        const engine = createStage();
        let version = "2";
        const manifests = { "2": createManifest("2", 2), "3": createManifest("3", 2) };
        const earlyStager = createEarlyStager({
            engine,
            logger,
            readSet: () => ({
                manifest: manifests[version as "2" | "3"],
                read: index => createContent(version, index),
            }),
        });
        await earlyStager.run();
        version = "3";
        await earlyStager.run();
        expect(engine.writes).toEqual([0, 1, 0, 1]);
        expect(engine.staged.get(1)).toEqual(createContent("3", 1));
    });
});

describe("staging before a load", () => {
    it("replaces chunks of another version and those that are corrupted while they are written", async () => {
        const engine = createStage();
        const manifest = createManifest("2", 8);
        engine.staged.set(3, createContent("1", 3));
        let corrupted = false;
        const corrupting: EngineControlPort = {
            ...engine,
            stage: (model, index, content) => {
                const isCorrupted = index === 5 && !corrupted;
                corrupted ||= isCorrupted;
                return engine.stage(model, index, isCorrupted ? Buffer.from("bad") : content);
            },
        };
        const summary = await stageWeights(corrupting, manifest, index => createContent("2", index));
        expect(summary.unwrapOr(undefined as never)).toEqual({ written: 9, rounds: 3 });
        for (let index = 0; index < 8; index++) {
            expect(engine.staged.get(index)).toEqual(createContent("2", index));
        }
    });

    it("fails if a chunk is missing from memory", async () => {
        const summary = await stageWeights(createStage(), createManifest("2", 4), () => undefined);
        expect(summary.isErr && summary.error.code).toEqual("CHUNK_CORRUPT");
    });
});
