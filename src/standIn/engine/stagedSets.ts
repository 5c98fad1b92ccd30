import type { EngineState, ManifestDigest, StagedSet } from "../../types/index.js";

/** Outcome of staging a chunk. */
export type StageOutcome = "staged" | "not-prepared" | "out-of-range" | "out-of-memory";

/** Weight sets that are staged in the memory of the engine's host. */
export interface StagedSets {
    /**
     * Adds a set without chunks. A set that exists already is kept, unless its number of chunks differs.
     *
     * @param digest - manifest digest of the set
     * @param chunksTotal - number of chunks of the set
     */
    prepare(digest: ManifestDigest, chunksTotal: number): void;
    /**
     * Stores a chunk; replaces an earlier chunk with the same index.
     *
     * @param digest - manifest digest of the set
     * @param index - position of the chunk
     * @param content - content of the chunk
     * @returns `staged`, or why the chunk was not stored
     */
    stage(digest: ManifestDigest, index: number, content: Uint8Array): StageOutcome;
    /**
     * Reads a chunk.
     *
     * @param digest - manifest digest of the set
     * @param index - position of the chunk
     * @returns content of the chunk; undefined if it is not stored
     */
    read(digest: ManifestDigest, index: number): Uint8Array | undefined;
    /**
     * Checks whether a set is complete.
     *
     * @param digest - manifest digest of the set
     * @returns whether all chunks are stored; undefined for a set that is not prepared
     */
    isComplete(digest: ManifestDigest): boolean | undefined;
    /**
     * Removes a set and its chunks.
     *
     * @param digest - manifest digest of the set
     */
    drop(digest: ManifestDigest): void;
    /** Removes all sets. */
    clear(): void;
    /** @returns the sets as the engine's state reports them */
    report(): EngineState["staged"];
}

interface StoredSet {
    readonly chunksTotal: number;
    readonly chunks: Map<number, Uint8Array>;
}

/**
 * Creates a store without sets.
 *
 * @param memoryBytes - memory for the chunks of all sets, in bytes
 * @returns the store
 */
export function createStagedSets(memoryBytes: number): StagedSets {
    const sets = new Map<ManifestDigest, StoredSet>();
    let usedBytes = 0;

    function drop(digest: ManifestDigest): void {
        for (const chunk of sets.get(digest)?.chunks.values() ?? []) {
            usedBytes -= chunk.byteLength;
        }
        sets.delete(digest);
    }

    function stage(digest: ManifestDigest, index: number, content: Uint8Array): StageOutcome {
        const set = sets.get(digest);
        if (set === undefined) {
            return "not-prepared";
        }
        if (!Number.isInteger(index) || index < 0 || index >= set.chunksTotal) {
            return "out-of-range";
        }
        const added = content.byteLength - (set.chunks.get(index)?.byteLength ?? 0);
        if (usedBytes + added > memoryBytes) {
            return "out-of-memory";
        }
        usedBytes += added;
        set.chunks.set(index, content);
        return "staged";
    }

    return {
        prepare: (digest, chunksTotal) => {
            if (sets.get(digest)?.chunksTotal !== chunksTotal) {
                drop(digest);
                sets.set(digest, { chunksTotal, chunks: new Map() });
            }
        },
        stage,
        read: (digest, index) => sets.get(digest)?.chunks.get(index),
        isComplete: digest => {
            const set = sets.get(digest);
            return set === undefined ? undefined : set.chunks.size === set.chunksTotal;
        },
        drop,
        clear: () => [...sets.keys()].forEach(drop),
        report: () => [...sets].map(([digest, set]) => reportSet(digest, set)),
    };
}

function reportSet(manifestDigest: ManifestDigest, { chunksTotal, chunks }: StoredSet): StagedSet {
    const bitfield = Buffer.alloc(Math.ceil(chunksTotal / 8));
    for (const index of chunks.keys()) {
        bitfield[index >> 3]! |= 1 << (index & 7);
    }
    return { manifestDigest, chunksTotal, bitfield: bitfield.toString("base64") };
}
