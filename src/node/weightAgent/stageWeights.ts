import { err, ok, type Result } from "true-myth/result";
import { verifyChunk } from "../../runtime/distribution/index.js";
import { createError, type EngineControlPort, type GoldcrestpointError, type Manifest } from "../../types/index.js";

/** Rounds in which chunks are staged and read back; spoilt ones are staged again in the next round. */
const maximumRounds = 3;

/** What {@link stageWeights} did. */
export interface StagingSummary {
    /** Chunks that were written, including repeats. */
    readonly written: number;
    readonly rounds: number;
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
    let written = 0;
    for (let round = 1; round <= maximumRounds; round++) {
        let wrong = 0;
        for (let index = 0; index < manifest.chunks.length; index++) {
            const staged = await engine.readStaged(manifest.model, index);
            if (staged.isErr) {
                return err(staged.error);
            }
            if (staged.value !== undefined && verifyChunk(manifest, index, staged.value)) {
                continue;
            }
            wrong++;
            const content = read(index);
            if (content === undefined || !verifyChunk(manifest, index, content)) {
                return err(createError("CHUNK_CORRUPT", step, "local", `chunk ${index} is not in memory`));
            }
            const put = await engine.stage(manifest.model, index, content);
            if (put.isErr) {
                return err(put.error);
            }
            written++;
        }
        if (wrong === 0) {
            return ok({ written, rounds: round });
        }
    }
    return err(createError("CHUNK_CORRUPT", step, "engine", `chunks were wrong in ${maximumRounds} rounds`));
}
