import { err, ok, type Result } from "true-myth/result";
import { verifyChunk } from "../../runtime/distribution/index.js";
import { createError, type EngineControlPort, type GoldcrestpointError, type Manifest } from "../../types/index.js";
import { runParallel } from "../../utils/index.js";

/** Rounds in which chunks are read back and staged; corrupt ones are staged again in the next round. */
const maximumStagingRounds = 3;

/** Chunks that are read or written at the same time; the engine is on the same instance and answers quickly. */
export const parallelChunks = 4;

/** Result of {@link stageWeights}. */
export interface StagingSummary {
    /** Number of chunk writes, including repeated ones. */
    readonly written: number;
    readonly rounds: number;
}

/** Ensures that one chunk is staged; returns `right` if it already was, and `written` if it had to be written. */
type ChunkStep = (index: number) => Promise<Result<"right" | "written", GoldcrestpointError>>;

/** Runs a step for every chunk and counts those that were written; stops at the first error. */
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
 * Stages a whole set in the engine. Every chunk is read back, since staged content may be corrupt or belong to another
 * version; chunks that are staged correctly are not written again.
 *
 * @param engine - engine on the same instance
 * @param manifest - manifest of the set
 * @param read - reads a verified chunk of the set from memory
 * @returns what was written; `CHUNK_CORRUPT` if a chunk is missing or corrupt in memory, or if staged chunks are still
 * corrupt after several rounds
 */
export async function stageWeights(
    engine: EngineControlPort,
    manifest: Manifest,
    read: (index: number) => Uint8Array | undefined,
): Promise<Result<StagingSummary, GoldcrestpointError>> {
    const step = "stage weights";

    const ensureStaged: ChunkStep = async index => {
        const staged = await engine.readStaged(manifest.model, index);
        if (staged.isErr) {
            return err(staged.error);
        }
        if (staged.value !== undefined && verifyChunk(manifest, index, staged.value)) {
            return ok("right");
        }
        const content = read(index);
        if (content === undefined || !verifyChunk(manifest, index, content)) {
            return err(createError("CHUNK_CORRUPT", step, "local", `chunk ${index} is missing or corrupt in memory`));
        }
        const put = await engine.stage(manifest.model, index, content);
        return put.map(() => "written" as const);
    };

    let written = 0;
    for (let round = 1; round <= maximumStagingRounds; round++) {
        const outcome = await forEachChunk(manifest.chunks.length, ensureStaged);
        if (outcome.isErr) {
            return err(outcome.error);
        }
        written += outcome.value;
        if (outcome.value === 0) {
            return ok({ written, rounds: round });
        }
    }
    return err(
        createError(
            "CHUNK_CORRUPT",
            step,
            "engine",
            `staged chunks were corrupt or of another version in ${maximumStagingRounds} rounds`,
        ),
    );
}
