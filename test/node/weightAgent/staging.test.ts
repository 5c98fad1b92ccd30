import { expect } from "earl";
import { createHash } from "node:crypto";
import { describe, it } from "node:test";
import { pino } from "pino";
import { ok } from "true-myth/result";
import { createStageAhead } from "../../../src/node/weightAgent/stageAhead.js";
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

/** Stage of an engine that keeps what is written, one chunk for each position. */
function createStage(): EngineControlPort & { readonly staged: Map<number, Uint8Array>; readonly writes: number[]; } {
    const staged = new Map<number, Uint8Array>();
    const writes: number[] = [];
    const unused = () => Promise.reject(new Error("not used here"));
    return {
        staged,
        writes,
        readReport: unused,
        load: unused,
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
    it("stages each chunk once as it arrives, and leaves nothing for the load to write", async () => {
        const engine = createStage();
        const manifest = createManifest("2", 4);
        const arrived = new Set([2]);
        const read = (index: number) => arrived.has(index) ? createContent("2", index) : undefined;
        const ahead = createStageAhead({ engine, logger, readSet: () => ({ manifest, read }) });
        await ahead.run();
        expect(engine.writes).toEqual([2]);
        [0, 1, 3].forEach(index => arrived.add(index));
        await ahead.run();
        expect(engine.writes).toEqual([2, 0, 1, 3]);
        const loaded = await stageWeights(engine, manifest, read);
        expect(loaded.unwrapOr(undefined as never)).toEqual({ written: 0, rounds: 1 });
    });

    it("stops as soon as the stage is needed for another set", async () => {
        const engine = createStage();
        const manifest = createManifest("3", 4);
        const ahead = createStageAhead({
            engine,
            logger,
            readSet: () =>
                engine.writes.length < 2 ? { manifest, read: index => createContent("3", index) } : undefined,
        });
        await ahead.run();
        expect(engine.writes.length).toEqual(2);
    });

    it("begins again with a set that takes the place of another", async () => {
        const engine = createStage();
        let version = "2";
        const manifests = { "2": createManifest("2", 2), "3": createManifest("3", 2) };
        const ahead = createStageAhead({
            engine,
            logger,
            readSet: () => ({
                manifest: manifests[version as "2" | "3"],
                read: index => createContent(version, index),
            }),
        });
        await ahead.run();
        version = "3";
        await ahead.run();
        expect(engine.writes).toEqual([0, 1, 0, 1]);
        expect(engine.staged.get(1)).toEqual(createContent("3", 1));
    });
});

describe("staging before a load", () => {
    it("replaces chunks of another version and those that turn bad while they are written", async () => {
        const engine = createStage();
        const manifest = createManifest("2", 8);
        engine.staged.set(3, createContent("1", 3));
        let spoilt = false;
        const spoiling: EngineControlPort = {
            ...engine,
            stage: (model, index, content) => {
                const isSpoilt = index === 5 && !spoilt;
                spoilt ||= isSpoilt;
                return engine.stage(model, index, isSpoilt ? Buffer.from("bad") : content);
            },
        };
        const summary = await stageWeights(spoiling, manifest, index => createContent("2", index));
        expect(summary.unwrapOr(undefined as never)).toEqual({ written: 9, rounds: 3 });
        for (let index = 0; index < 8; index++) {
            expect(engine.staged.get(index)).toEqual(createContent("2", index));
        }
    });

    it("fails if a chunk is missing in memory", async () => {
        const summary = await stageWeights(createStage(), createManifest("2", 4), () => undefined);
        expect(summary.isErr && summary.error.code).toEqual("CHUNK_CORRUPT");
    });
});
