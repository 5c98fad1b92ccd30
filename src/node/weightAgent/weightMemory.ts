import { err, ok, type Result } from "true-myth/result";
import { addChunk, createBitfield, encodeBitfield } from "../../runtime/distribution/index.js";
import {
    type BackendServerPort,
    createError,
    type EngineState,
    type GoldcrestpointError,
    type ManifestDigest,
} from "../../types/index.js";

/** Chunks of weight sets in the memory of an agent, as the transfer service reads and writes them. */
export interface WeightMemory {
    /** Port through which the transfer service stages and reads chunks. */
    readonly port: Pick<BackendServerPort, "readState" | "stageChunk" | "readChunk">;
    /**
     * Adds unverified chunks of a set that is not in memory yet; the transfer service verifies them before it counts
     * them as held.
     *
     * @param set - set that they are assumed to belong to
     * @param chunksTotal - number of chunks of the set
     * @param chunks - content by position
     */
    import(set: ManifestDigest, chunksTotal: number, chunks: ReadonlyMap<number, Uint8Array>): void;
    /** Reads a chunk; undefined if it is not in memory. */
    read(set: ManifestDigest, index: number): Uint8Array | undefined;
    /** Sets the set that the engine has loaded; undefined if there is none. */
    setActive(set: ManifestDigest | undefined): void;
    /** Removes all other sets. */
    keepOnly(sets: ReadonlySet<ManifestDigest>): void;
    readonly countBytes: () => number;
}

interface MemorySet {
    readonly chunksTotal: number;
    readonly chunks: Map<number, Uint8Array>;
}

/**
 * Creates the memory for the weight sets of an agent.
 *
 * @param chunksTotal - returns the number of chunks of a set; called for the first chunk that is written to the set
 * @returns the empty memory
 */
export function createWeightMemory(chunksTotal: () => number): WeightMemory {
    const sets = new Map<ManifestDigest, MemorySet>();
    let active: ManifestDigest | undefined;

    function findSet(digest: ManifestDigest): MemorySet {
        const set = sets.get(digest) ?? { chunksTotal: chunksTotal(), chunks: new Map<number, Uint8Array>() };
        sets.set(digest, set);
        return set;
    }

    function encodeStagedChunks(set: MemorySet): string {
        const bitfield = createBitfield(set.chunksTotal);
        for (const index of set.chunks.keys()) {
            addChunk(bitfield, index);
        }
        return encodeBitfield(bitfield);
    }

    function readState(): EngineState {
        return {
            incarnation: "memory",
            active: active === undefined ?
                undefined :
                { model: "", adapter: "", version: "", manifestDigest: active },
            staged: [...sets].map(([manifestDigest, set]) => ({
                manifestDigest,
                chunksTotal: set.chunksTotal,
                bitfield: encodeStagedChunks(set),
            })),
            running: 0,
            queued: 0,
            capacity: 0,
            cachedPrefixes: [],
            highestToken: undefined,
        };
    }

    return {
        port: {
            readState: () => Promise.resolve(ok(readState())),
            stageChunk: (digest, index, content) => {
                findSet(digest).chunks.set(index, content);
                return Promise.resolve(ok(undefined));
            },
            readChunk: (digest, index): Promise<Result<Uint8Array, GoldcrestpointError>> => {
                const content = sets.get(digest)?.chunks.get(index);
                return Promise.resolve(
                    content === undefined ?
                        err(createError("CHUNK_REFUSED", "read chunk", "local", "the chunk is not in memory")) :
                        ok(content),
                );
            },
        },
        import: (digest, total, chunks) => {
            if (!sets.has(digest)) {
                sets.set(digest, { chunksTotal: total, chunks: new Map(chunks) });
            }
        },
        read: (digest, index) => sets.get(digest)?.chunks.get(index),
        setActive: digest => {
            active = digest;
        },
        keepOnly: kept => {
            for (const digest of [...sets.keys()]) {
                if (!kept.has(digest)) {
                    sets.delete(digest);
                }
            }
        },
        countBytes: () =>
            [...sets.values()].reduce(
                (sum, { chunks }) => sum + [...chunks.values()].reduce((bytes, chunk) => bytes + chunk.length, 0),
                0,
            ),
    };
}
