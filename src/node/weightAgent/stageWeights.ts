import { err, ok, type Result } from "true-myth/result";
import { verifyChunk } from "../../runtime/distribution/index.js";
import { createError, type EngineControlPort, type GoldcrestpointError, type Manifest } from "../../types/index.js";
import { runParallel } from "../../utils/index.js";

/** Rounds in which chunks are staged and read back; spoilt ones are staged again in the next round. */
const maximumRounds = 3;

/** Chunks that are read back or written at the same time; the engine answers its own instance quickly. */
export const parallelChunks = 4;

/** What {@link stageWeights} did. */
export interface StagingSummary {
    /** Chunks that were written, including repeats. */
    readonly written: number;
    readonly rounds: number;
}

/** Makes one chunk right; tells whether it had to be written. */
type ChunkStep = (index: number) => Promise<Result<"right" | "written", GoldcrestpointError>>;

/** Runs a step for every chunk; counts those that were written, and stops at the first error. */
async function forEachChunk(chunks: number, step: ChunkStep): Promise<Result<number, GoldcrestpointError>> {
    let written = 0;
    let failure: GoldcrestpointError | undefined;
    await runParallel(Array(chunks).keys(), parallelChunks, async index => {
        const outcome = await step(index);
        if (outcome.isErr) {
            failure ??= outcome.error;
            return false;
        }
        written += outcome.value === "written" ? 1 : 0;
        return true;
    });
    return failure === undefined ? ok(written) : err(failure);
}

/**
 * Makes the engine's stage hold a whole set. Every chunk is read back, since staged content may be of another version
 * or spoilt; chunks that are right are not written again.
 *
 * @param engine - engine on the same instance
 * @param manifest - manifest of the set
 * @param read - reads a verified chunk of the set from memory
 * @returns what was written; `CHUNK_CORRUPT` if the stage does not hold the set after several rounds
 */
export async function stageWeights(
    engine: EngineControlPort,
    manifest: Manifest,
    read: (index: number) => Uint8Array | undefined,
): Promise<Result<StagingSummary, GoldcrestpointError>> {
    const step = "stage weights";

    const makeRight: ChunkStep = async index => {
        const staged = await engine.readStaged(manifest.model, index);
        if (staged.isErr) {
            return err(staged.error);
        }
        if (staged.value !== undefined && verifyChunk(manifest, index, staged.value)) {
            return ok("right");
        }
        const content = read(index);
        if (content === undefined || !verifyChunk(manifest, index, content)) {
            return err(createError("CHUNK_CORRUPT", step, "local", `chunk ${index} is not in memory`));
        }
        const put = await engine.stage(manifest.model, index, content);
        return put.map(() => "written" as const);
    };

    let written = 0;
    for (let round = 1; round <= maximumRounds; round++) {
        const outcome = await forEachChunk(manifest.chunks.length, makeRight);
        if (outcome.isErr) {
            return err(outcome.error);
        }
        written += outcome.value;
        if (outcome.value === 0) {
            return ok({ written, rounds: round });
        }
    }
    return err(createError("CHUNK_CORRUPT", step, "engine", `chunks were wrong in ${maximumRounds} rounds`));
}
