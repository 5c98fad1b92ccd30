/**
 * What is known about the weights that an engine reports as complete: `unverified` until the staged chunks have been read
 * back, `wrong` if they cannot be what the version consists of, and `unknown` if they were loaded before this process
 * started and what is staged says nothing about them.
 */
export type LoadedWeightsState = "none" | "unverified" | "verified" | "wrong" | "unknown";

/** Result of reading the staged chunks back after a load was accepted. */
export interface StagedReadBack {
    /** Number of staged chunks that do not belong to the loaded version. */
    readonly differences: number;
    /** Whether this process may have written a chunk since the load can have been accepted, which hides a wrong one. */
    readonly wasWritten: boolean;
    /** Whether the load was accepted before this process first read the engine's report. */
    readonly isFromBefore: boolean;
}

/**
 * Judges the weights that an engine has loaded. Chunks do not turn right by themselves: those that are right after the
 * acceptance of the load, and were not written since, were right when the engine took them.
 *
 * @param readBack - staged chunks, read after the load was accepted
 * @returns what is known about the weights
 */
export function judgeLoadedWeights({ differences, isFromBefore, wasWritten }: StagedReadBack): LoadedWeightsState {
    if (differences === 0 && !wasWritten) {
        return "verified";
    }
    return isFromBefore ? "unknown" : "wrong";
}
