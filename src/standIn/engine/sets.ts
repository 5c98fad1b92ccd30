import type { EngineState, ManifestDigest, StagedSet } from "../../types/index.js";

/** Outcome of an attempt to stage a chunk. */
export type StageOutcome = "staged" | "not-prepared" | "out-of-range" | "out-of-memory";

/** Staged sets in the engine host's memory. */
export interface StagedSets {
    /**
     * Makes room for a set; a set that is there stays as it is.
     *
     * @param digest - manifest digest
     * @param chunksTotal - number of its chunks
     */
    prepare(digest: ManifestDigest, chunksTotal: number): void;
    /**
     * Stores a chunk, in the place of one that is there.
     *
     * @param digest - manifest digest
     * @param index - position of the chunk
     * @param content - its bytes
     * @returns whether it was stored
     */
    stage(digest: ManifestDigest, index: number, content: Uint8Array): StageOutcome;
    /**
     * Reads a chunk.
     *
     * @param digest - manifest digest
     * @param index - position of the chunk
     * @returns its bytes; undefined if it is not held
     */
    read(digest: ManifestDigest, index: number): Uint8Array | undefined;
    /**
     * Tells how much of a set is held.
     *
     * @param digest - manifest digest
     * @returns whether all chunks are held; undefined for a set that is not prepared
     */
    isComplete(digest: ManifestDigest): boolean | undefined;
    /**
     * Drops a set.
     *
     * @param digest - manifest digest
     */
    drop(digest: ManifestDigest): void;
    /** Drops all sets. */
    clear(): void;
    /** @returns the sets for the engine's state */
    report(): EngineState["staged"];
}

interface HeldSet {
    readonly chunksTotal: number;
    readonly chunks: Map<number, Uint8Array>;
}

/**
 * Creates empty memory.
 *
 * @param memoryBytes - memory for chunks
 * @returns the sets
 */
export function createStagedSets(memoryBytes: number): StagedSets {
    const sets = new Map<ManifestDigest, HeldSet>();
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

function reportSet(manifestDigest: ManifestDigest, { chunksTotal, chunks }: HeldSet): StagedSet {
    const bitfield = Buffer.alloc(Math.ceil(chunksTotal / 8));
    for (const index of chunks.keys()) {
        bitfield[index >> 3]! |= 1 << (index & 7);
    }
    return { manifestDigest, chunksTotal, bitfield: bitfield.toString("base64") };
}
