import { countChunks, isComplete, type TransferRow } from "../../../runtime/distribution/index.js";
import type { Manifest, Milliseconds } from "../../../types/index.js";
import type { TransferContext } from "./context.js";
import type { WeightSetState } from "./weightSetState.js";

/**
 * Measures the times of a stage of a transfer that has ended, and begins the next stage.
 *
 * @param set - the set; changed in place
 * @param now - monotonic time
 * @returns fields of the log line: time since the version was named, and since the stage before
 */
export function endStage(
    set: WeightSetState,
    now: Milliseconds,
): { readonly sinceNamed: number; readonly waitedMilliseconds: number; } {
    const waitedMilliseconds = Math.round(now - set.stageAt);
    set.stageAt = now;
    return { sinceNamed: Math.round(now - (set.target.namedAt ?? set.startedAt)), waitedMilliseconds };
}

/**
 * Writes one log line when the first chunk of a set is held.
 *
 * @param context - context of the service
 * @param set - the set
 * @param row - transfer of the chunk
 */
export function logFirstChunk(context: TransferContext, set: WeightSetState, { index, source }: TransferRow): void {
    if (!set.firstChunkLogged) {
        set.firstChunkLogged = true;
        context.logEvent({ index, source, ...endStage(set, context.clock.monotonic()) }, "first chunk held", set);
    }
}

/**
 * Writes one log line when a set has become complete.
 *
 * @param context - context of the service
 * @param set - the set
 * @param manifest - manifest of the set
 */
export function logCompletion(context: TransferContext, set: WeightSetState, manifest: Manifest): void {
    const chunks = manifest.chunks.length;
    if (set.completeLogged || !isComplete(set.held, chunks)) {
        return;
    }
    set.completeLogged = true;
    const now = context.clock.monotonic();
    const duration = Math.round(now - set.startedAt);
    const chunksComplete = countChunks(set.held, chunks);
    context.logEvent(
        { chunks: chunksComplete, durationMilliseconds: duration, ...endStage(set, now), ...context.counters },
        "set complete",
        set,
    );
}
