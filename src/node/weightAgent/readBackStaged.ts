import { err, ok, type Result } from "true-myth/result";
import { verifyChunk } from "../../runtime/distribution/index.js";
import type { EngineControlPort, GoldcrestpointError, Manifest } from "../../types/index.js";
import { runParallel } from "../../utils/index.js";
import type { FindChunkVersion } from "./stagedWrites.js";
import { parallelChunks } from "./stageWeights.js";

/** Staged chunks that do not belong to a set. */
export interface StagedDifferences {
    readonly missing: readonly number[];
    readonly corrupt: readonly number[];
    /** Chunks that are right for another version. */
    readonly otherVersions: readonly { readonly index: number; readonly version: number; }[];
}

/**
 * Counts the staged chunks that do not belong to a set.
 *
 * @param differences - result of {@link readBackStaged}
 * @returns their number
 */
export function countDifferences({ corrupt, missing, otherVersions }: StagedDifferences): number {
    return corrupt.length + missing.length + otherVersions.length;
}

/**
 * Reads back the staged chunks and compares them with a set. Writes nothing.
 *
 * @param engine - engine on the same instance
 * @param manifest - manifest of the set
 * @param findVersion - finds the version that a differing chunk belongs to
 * @returns the chunks that differ; the error of the first read that failed
 */
export async function readBackStaged(
    engine: Pick<EngineControlPort, "readStaged">,
    manifest: Manifest,
    findVersion: FindChunkVersion,
): Promise<Result<StagedDifferences, GoldcrestpointError>> {
    const missing: number[] = [];
    const corrupt: number[] = [];
    const otherVersions: { index: number; version: number; }[] = [];
    let failure: GoldcrestpointError | undefined;
    await runParallel(manifest.chunks.keys(), parallelChunks, async index => {
        const staged = await engine.readStaged(manifest.model, index);
        if (staged.isErr) {
            failure ??= staged.error;
            return false;
        }
        const content = staged.value;
        if (content === undefined) {
            missing.push(index);
        }
        else if (!verifyChunk(manifest, index, content)) {
            const version = findVersion(index, content);
            if (version === undefined) {
                corrupt.push(index);
            }
            else {
                otherVersions.push({ index, version });
            }
        }
        return true;
    });
    return failure === undefined ? ok({ missing, corrupt, otherVersions }) : err(failure);
}
