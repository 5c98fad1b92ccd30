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
    /** Whether a write to the staging area may still be carried out, or was carried out since, and hide a wrong chunk. */
    readonly mayBeWritten: boolean;
    /** Whether the engine accepted the load soon after all chunks were verified, so that late writes hide nothing. */
    readonly wasAcceptedSoon: boolean;
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
export function judgeLoadedWeights(readBack: StagedReadBack): LoadedWeightsState {
    const { differences, isFromBefore, mayBeWritten, wasAcceptedSoon, wasWritten } = readBack;
    const isHidden = wasWritten || (mayBeWritten && !wasAcceptedSoon);
    if (differences === 0 && !isHidden) {
        return "verified";
    }
    return isFromBefore ? "unknown" : "wrong";
}
