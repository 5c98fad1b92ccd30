/** Buffers of a process, and what is known to be in use of them. */
export interface BufferUsage {
    /** Bytes of all buffers outside the heap, including those that are no longer referenced. */
    readonly allocated: number;
    /** Bytes that are held for callers and backend servers. */
    readonly held: number;
    /** Bytes of unreferenced buffers that may be left. */
    readonly allowed: number;
}

/** Garbage collection: of the young generation, which takes about a millisecond, or of the whole heap. */
export type BufferCollection = "minor" | "major";

/** What earlier decisions have found. */
export interface CollectionState {
    /** Collection that the previous decision asked for; undefined if it asked for none. */
    last: BufferCollection | undefined;
    /** Bytes that are not known to be held, but were left by a major collection. */
    referenced: number;
}

/**
 * Creates the state before the first decision.
 *
 * @returns the state
 */
export function createCollectionState(): CollectionState {
    return { last: undefined, referenced: 0 };
}

/**
 * Decides whether unreferenced buffers are collected now. A minor collection releases what was read and dropped at once;
 * if it has left too much, the buffers had been kept for longer, and only a major one releases them. What a major one has
 * left counts as referenced, so that the next one follows only after as much garbage again.
 *
 * @param usage - the buffers
 * @param state - what earlier decisions have found; updated
 * @returns the collection; undefined if none is needed
 */
export function decideCollection(
    { allocated, allowed, held }: BufferUsage,
    state: CollectionState,
): BufferCollection | undefined {
    const excess = Math.max(0, allocated - held);
    state.referenced = state.last === "major" ? excess : Math.min(state.referenced, excess);
    const next = state.last === "minor" ? "major" : "minor";
    state.last = excess - state.referenced > allowed ? next : undefined;
    return state.last;
}
